#include "external/standin/standin_host_list.h"

#include "external/host_list_json.h"
#include "external/standin/settings_reader.h"

#include <nlohmann/json.hpp>

namespace parsleyglade {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

std::string errorBody(const std::string &reason, const std::string &pointer = {})
{
    return nlohmann::json{{"reason", reason}, {"pointer", pointer}}.dump();
}

} // namespace

standin_host_list::standin_host_list(event_loop &loop, const std::string &address)
    : m_list(loop)
    , m_server(loop, address, [this](const std::shared_ptr<standin_exchange> &exchange) { handleRequest(exchange); })
{
}

const std::string &standin_host_list::address() const
{
    return m_server.address();
}

fake_host_list &standin_host_list::list()
{
    return m_list;
}

void standin_host_list::handleRequest(const std::shared_ptr<standin_exchange> &exchange)
{
    if (exchange->path() == "/v1/faults" && exchange->method() == "PUT") {
        handleFaults(exchange);
        return;
    }
    if (exchange->path() != "/v1/hosts" || (exchange->method() != "GET" && exchange->method() != "PUT")) {
        exchange->replyJson(statusNotFound, errorBody("no such path or method"));
        return;
    }

    if (exchange->method() == "PUT") {
        const auto list = hostListFromJson(exchange->body());
        if (!list) {
            exchange->replyJson(statusBadRequest, errorBody(list.lastReason().reason, list.lastReason().pointer));
            return;
        }
        m_list.setHosts(*list);
        exchange->replyJson(statusOk, "{}");
        return;
    }

    if (m_list.isDown()) {
        exchange->replyJson(statusUnavailable, errorBody("the host list is down"));
        return;
    }
    exchange->replyJson(statusOk, hostListToJson(m_list.visibleHosts()));
}

void standin_host_list::handleFaults(const std::shared_ptr<standin_exchange> &exchange)
{
    bool outage = m_list.isDown();
    duration lag = m_list.lag();
    const std::string error = settings_reader().add("outage", outage).addMilliseconds("lagMilliseconds", lag).apply(exchange->body());
    if (!error.empty()) {
        exchange->replyJson(statusBadRequest, errorBody(error));
        return;
    }
    m_list.setDown(outage);
    m_list.setLag(lag);
    exchange->replyJson(statusOk, "{}");
}

} // namespace parsleyglade
