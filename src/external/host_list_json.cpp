#include "external/host_list_json.h"

#include <nlohmann/json.hpp>

namespace parsleyglade {

namespace {

using nlohmann::json;

failure malformed(std::string reason, std::string pointer)
{
    return {result_code::host_list_unavailable, std::move(reason), std::move(pointer)};
}

outcome<listed_host> hostFromJson(const json &item, const std::string &pointer)
{
    if (!item.is_object()) {
        return malformed("not an object", pointer);
    }

    listed_host host;
    std::string role;
    std::string state;
    const std::pair<const char *, std::string *> fields[] = {
        {"host", &host.host}, {"region", &host.region}, {"dataCentre", &host.dataCentre}, {"rack", &host.rack}, {"address", &host.address},
        {"role", &role},      {"state", &state},
    };
    for (const auto &[key, target] : fields) {
        const auto found = item.find(key);
        if (found == item.end() || !found->is_string()) {
            return malformed("missing or not a string", pointer + '/' + key);
        }
        *target = found->get<std::string>();
    }

    if (role != "entry" && role != "endpoint") {
        return malformed("neither entry nor endpoint", pointer + "/role");
    }
    if (state != "live" && state != "leaving") {
        return malformed("neither live nor leaving", pointer + "/state");
    }
    host.role = role == "entry" ? host_role::entry : host_role::endpoint;
    host.state = state == "live" ? host_state::live : host_state::leaving;
    return host;
}

} // namespace

std::string hostListToJson(const host_list &list)
{
    json hosts = json::array();
    for (const listed_host &host : list.hosts) {
        hosts.push_back({
            {"host", host.host},
            {"region", host.region},
            {"dataCentre", host.dataCentre},
            {"rack", host.rack},
            {"address", host.address},
            {"role", host.role == host_role::entry ? "entry" : "endpoint"},
            {"state", host.state == host_state::live ? "live" : "leaving"},
        });
    }
    return json{{"hosts", std::move(hosts)}}.dump();
}

outcome<host_list> hostListFromJson(std::string_view text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("hosts") || !body["hosts"].is_array()) {
        return malformed("the host list is not an object with an array of hosts", "/hosts");
    }

    host_list list;
    for (const json &item : body["hosts"]) {
        auto host = hostFromJson(item, "/hosts/" + std::to_string(list.hosts.size()));
        if (!host) {
            return host.lastReason();
        }
        list.hosts.push_back(std::move(*host));
    }
    return list;
}

} // namespace parsleyglade
