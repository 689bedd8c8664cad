#include "external/http_host_list_client.h"

#include "external/host_list_json.h"

#include <cassert>

namespace parsleyglade {

namespace {

constexpr int statusOk = 200;

http_requester_settings requesterSettings(const http_host_list_client_settings &settings)
{
    http_requester_settings result;
    result.maximumConnections = settings.maximumFetches;
    result.maximumBodyBytes = settings.maximumResponseBytes;
    return result;
}

outcome<host_list> parseResponse(const http_result &response)
{
    if (response.delivery != http_delivery::responded) {
        return failure{result_code::host_list_unavailable, response.reason, {}};
    }
    if (response.status != statusOk) {
        return failure{result_code::host_list_unavailable, "the host list returned status " + std::to_string(response.status), {}};
    }
    return hostListFromJson(response.body);
}

} // namespace

http_host_list_client::http_host_list_client(event_loop &loop, http_host_list_client_settings settings)
    : m_settings(std::move(settings))
    , m_requester(loop, requesterSettings(m_settings))
{
    assert(!m_settings.addresses.empty());
}

http_host_list_client::~http_host_list_client() = default;

void http_host_list_client::fetch(std::function<void(outcome<host_list>)> done)
{
    fetchFrom(m_preferredAddress, m_settings.addresses.size(), std::move(done));
}

void http_host_list_client::fetchFrom(std::size_t address, std::size_t attemptsLeft, std::function<void(outcome<host_list>)> done)
{
    outgoing_request request;
    request.address = m_settings.addresses[address];
    request.target = "/v1/hosts";
    request.timeout = m_settings.timeout;

    m_requester.send(request, [this, address, attemptsLeft, done = std::move(done)](const http_result &response) {
        auto list = parseResponse(response);
        if (!list) {
            const std::size_t next = (address + 1) % m_settings.addresses.size();
            if (m_preferredAddress == address) {
                m_preferredAddress = next;
            }
            if (attemptsLeft > 1) {
                fetchFrom(next, attemptsLeft - 1, done);
                return;
            }
        }
        done(std::move(list));
    });
}

} // namespace parsleyglade
