#include "control/successor_choice.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// One may be lost together with the leader, for example when the store turns away both. Each further one would load and follow the whole journal as well.
constexpr std::size_t maximumSuccessors = 2;

// A follower always has a probe under way, so one that has not sent any for this long is gone, even beside a leader that is a second late.
constexpr duration probeAgeLimit = std::chrono::seconds{2};

// Time in which a chosen entry host has certainly loaded a journal of tens of thousands of records.
constexpr duration preparationTime = std::chrono::seconds{1};

} // namespace

void successor_choice::start(std::vector<std::string> names, time_point now)
{
    m_startedAt = now;
    m_successors.clear();
    for (const std::string &address : names) {
        m_successors.push_back({address, now});
    }
    m_names = std::move(names);
}

bool successor_choice::update(const std::map<std::string, member> &members, const leader_properties &leader, time_point now)
{
    const bool hasPreferred
        = std::any_of(members.begin(), members.end(), [&](const auto &entry) { return isSuitable(members, entry.first, leader.preferredMillicores, now); });
    const std::int32_t millicores = std::max(1, hasPreferred ? leader.preferredMillicores : leader.millicores);
    std::erase_if(m_successors, [&](const successor &chosen) {
        const auto found = members.find(chosen.address);
        const bool hasProbed = found != members.end() && found->second.lastProbeAt >= m_startedAt;
        const bool mayProbeSoon = !hasProbed && now - m_startedAt < probeAgeLimit;
        return !mayProbeSoon && !isSuitable(members, chosen.address, millicores, now);
    });
    while (m_successors.size() < maximumSuccessors) {
        const std::size_t count = m_successors.size();
        add(members, leader, millicores, now);
        if (m_successors.size() == count) {
            break;
        }
    }

    std::vector<std::string> names;
    for (const successor &chosen : m_successors) {
        names.push_back(chosen.address);
    }
    const bool hasChanged = names != m_names;
    m_names = std::move(names);
    return hasChanged;
}

const std::vector<std::string> &successor_choice::names() const
{
    return m_names;
}

bool successor_choice::isPrepared(const std::string &address, time_point now) const
{
    return std::any_of(m_successors.begin(), m_successors.end(),
                       [&](const successor &chosen) { return chosen.address == address && now - chosen.chosenAt >= preparationTime; });
}

bool successor_choice::isSuitable(const std::map<std::string, member> &members, const std::string &address, std::int32_t millicores, time_point now) const
{
    const auto found = members.find(address);
    return found != members.end() && found->second.leadingMillicores >= millicores && found->second.lastProbeAt >= m_startedAt
        && now - found->second.lastProbeAt < probeAgeLimit;
}

/** Adds the best entry host, if any: one in a data centre without a leader or successor, else one in another data centre than the leader's. */
void successor_choice::add(const std::map<std::string, member> &members, const leader_properties &leader, std::int32_t millicores, time_point now)
{
    std::vector<std::string> dataCentres;
    for (const successor &chosen : m_successors) {
        const auto found = members.find(chosen.address);
        dataCentres.push_back(found == members.end() ? std::string() : found->second.dataCentre);
    }
    const std::string *best = nullptr;
    int bestDistance = -1;
    for (const auto &[address, candidate] : members) {
        const bool isChosen
            = std::any_of(m_successors.begin(), m_successors.end(), [&known = address](const successor &chosen) { return chosen.address == known; });
        if (isChosen || !isSuitable(members, address, millicores, now)) {
            continue;
        }
        const bool isWithLeader = candidate.dataCentre == leader.dataCentre;
        const bool isWithSuccessor = std::find(dataCentres.begin(), dataCentres.end(), candidate.dataCentre) != dataCentres.end();
        const int distance = (isWithLeader ? 0 : 2) + (isWithSuccessor ? 0 : 1);
        if (distance > bestDistance) {
            best = &address;
            bestDistance = distance;
        }
    }
    if (best != nullptr) {
        m_successors.push_back({*best, now});
    }
}

} // namespace parsleyglade
