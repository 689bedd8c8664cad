#include "operator_client/admin_client.h"

#include "operator_client/http_exchange.h"
#include "runtime/event_loop.h"

#include <cassert>
#include <optional>

namespace parsleyglade {

namespace {

bool isUnavailable(int status)
{
    return status == 502 || status == 503 || status == 504;
}

/** Returns true if the entry host reported that it doesn't know whether the request took effect. */
bool isResultUnknown(const admin_response &response)
{
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    return body.is_object() && body.contains("code") && body["code"] == static_cast<int>(result_code::log_append_unknown);
}

} // namespace

admin_client::admin_client(event_loop &loop, std::vector<std::string> addresses, std::string token, duration timeout)
    : m_loop(loop)
    , m_addresses(std::move(addresses))
    , m_token(std::move(token))
    , m_timeout(timeout)
{
    assert(!m_addresses.empty());
}

outcome<admin_response> admin_client::send(const admin_request &request)
{
    std::optional<admin_response> unavailable;
    std::string reasons;
    bool mayHaveTakenEffect = false;
    for (std::size_t attempt = 0; attempt < m_addresses.size(); ++attempt) {
        const std::size_t index = (m_preferredIndex + attempt) % m_addresses.size();
        outcome<admin_response> response = sendAdminRequest(m_loop, m_addresses[index], m_token, request, m_timeout);
        if (response && !isUnavailable(response->status)) {
            m_preferredIndex = index;
            return response;
        }

        if (response) {
            unavailable = *response;
            mayHaveTakenEffect = mayHaveTakenEffect || (request.changesState() && isResultUnknown(*response));
            reasons += (reasons.empty() ? "" : "; ") + m_addresses[index] + ": status " + std::to_string(response->status);
        } else {
            mayHaveTakenEffect = mayHaveTakenEffect || (request.changesState() && response.lastReason().code != result_code::peer_unreachable);
            reasons += (reasons.empty() ? "" : "; ") + response.lastReason().reason;
        }
    }

    if (mayHaveTakenEffect) {
        return failure{result_code::connection_lost, reasons, {}};
    }
    if (unavailable) {
        return *unavailable;
    }
    return failure{result_code::peer_unreachable, reasons, {}};
}

void admin_client::waitFor(duration time)
{
    bool isOver = false;
    const auto timer = m_loop.after(time, [this, &isOver] {
        isOver = true;
        m_loop.stop();
    });
    while (!isOver) {
        m_loop.run();
    }
}

time_point admin_client::now() const
{
    return m_loop.now();
}

} // namespace parsleyglade
