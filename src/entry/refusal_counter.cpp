#include "entry/refusal_counter.h"

namespace parsleyglade {

void refusal_counter::add(const std::string &pool, result_code code, const std::string &reason, wall_time now)
{
    entry &counted = m_entries[{pool, code}];
    if (counted.count == 0) {
        counted.since = now;
    }
    counted.count += 1;
    counted.reason = reason;
    counted.last = now;
}

void refusal_counter::removeExpired(wall_time now)
{
    std::erase_if(m_entries, [now](const auto &item) { return now - item.second.last > std::chrono::hours{1}; });
}

nlohmann::json refusal_counter::toJson() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[key, counted] : m_entries) {
        const result_code_row &row = describe(key.second);
        list.push_back({{"what", key.first},
                        {"code", static_cast<int>(key.second)},
                        {"name", row.name},
                        {"reason", counted.reason},
                        {"remedy", row.remedy},
                        {"count", counted.count},
                        {"sinceMilliseconds", counted.since.time_since_epoch().count()}});
    }
    return list;
}

} // namespace parsleyglade
