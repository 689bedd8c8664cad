#pragma once

#include "control/member.h"

#include <map>
#include <string>
#include <vector>

namespace parsleyglade {

/**
 * Chooses the entry hosts that keep a copy of the journal's state and take over first when the leader is lost. A chosen one stays chosen as long as it is
 * suitable, because its copy costs a load of the journal.
 */
class successor_choice
{
public:
    /** Properties of the leader that the choice depends on. */
    struct leader_properties
    {
        std::string dataCentre;
        std::int32_t millicores = 0;
        std::int32_t preferredMillicores = 0; /**< Successors have at least this many, if any entry host has. Otherwise as many as the leader. */
    };

    /** Starts with the entry hosts that the previous leader has chosen. They need not have sent a probe yet. */
    void start(std::vector<std::string> names, time_point now);

    /** Removes entry hosts that are not suitable any more and adds others. Returns whether the choice has changed.
        @param members all known entry hosts by address. */
    bool update(const std::map<std::string, member> &members, const leader_properties &leader, time_point now);

    /** Peer addresses of the chosen entry hosts. */
    const std::vector<std::string> &names() const;

    /** Whether the entry host has been chosen for long enough to have loaded the journal. */
    bool isPrepared(const std::string &address, time_point now) const;

private:
    struct successor
    {
        std::string address;
        time_point chosenAt{};
    };

    bool isSuitable(const std::map<std::string, member> &members, const std::string &address, std::int32_t millicores, time_point now) const;
    void add(const std::map<std::string, member> &members, const leader_properties &leader, std::int32_t millicores, time_point now);

    std::vector<successor> m_successors;
    std::vector<std::string> m_names; /**< Addresses of m_successors. */
    time_point m_startedAt{};
};

} // namespace parsleyglade
