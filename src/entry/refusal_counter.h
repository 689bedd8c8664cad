#pragma once

#include "core/result_code.h"
#include "core/time_types.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace parsleyglade {

/** Counts rejected and failed jobs by pool and result code, for the status document. Its size is bounded by the number of pools and codes. */
class refusal_counter
{
public:
    /** Counts one job of a pool. The latest reason of each pool and code is retained. */
    void add(const std::string &pool, result_code code, const std::string &reason, wall_time now);

    /** Removes entries that were not counted for an hour. */
    void removeExpired(wall_time now);

    /** Returns the entries as shown in the status document. */
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
