#pragma once

#include "core/result_code.h"
#include "core/time_types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace parsleyglade {

/** Counts what was refused or lost and why, for the status page. Bounded by the number of pools and result codes. */
class refusal_counter
{
public:
    /** Counts one job of a pool. */
    void add(const std::string &pool, result_code code, const std::string &reason, wall_time now);

    /** Forgets entries without a new count for an hour. */
    void removeExpired(wall_time now);

    /** The entries as the status document shows them. */
    nlohmann::json toJson() const;

private:
    struct entry
    {
        std::uint64_t count = 0;
        std::string reason;
        wall_time since{};
        wall_time last{};
    };

    std::map<std::pair<std::string, result_code>, entry> m_entries;
};

} // namespace parsleyglade
