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

/** Whether a host answered that it doesn't know itself whether the request took effect. */
bool leavesResultOpen(const http_answer &answer)
{
    const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
    return body.is_object() && body.contains("code") && body["code"] == static_cast<int>(result_code::log_append_unknown);
}

} // namespace

admin_client::admin_client(event_loop &loop, std::vector<std::string> addresses, std::string token, duration timeLimit)
    : m_loop(loop)
    , m_addresses(std::move(addresses))
    , m_token(std::move(token))
    , m_timeLimit(timeLimit)
{
    assert(!m_addresses.empty());
}

outcome<http_answer> admin_client::ask(const admin_request &request)
{
    std::optional<http_answer> unavailable;
    std::string reasons;
    bool mayHaveTakenEffect = false;
    for (std::size_t attempt = 0; attempt < m_addresses.size(); ++attempt) {
        const std::size_t index = (m_preferred + attempt) % m_addresses.size();
        outcome<http_answer> answer = exchangeHttp(m_loop, m_addresses[index], m_token, request, m_timeLimit);
        if (answer && !isUnavailable(answer->status)) {
            m_preferred = index;
            return answer;
        }

        if (answer) {
            unavailable = *answer;
            mayHaveTakenEffect = mayHaveTakenEffect || (request.changesState() && leavesResultOpen(*answer));
            reasons += (reasons.empty() ? "" : "; ") + m_addresses[index] + ": status " + std::to_string(answer->status);
        } else {
            mayHaveTakenEffect = mayHaveTakenEffect || (request.changesState() && answer.lastReason().code != result_code::peer_unreachable);
            reasons += (reasons.empty() ? "" : "; ") + answer.lastReason().reason;
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

void admin_client::pause(duration time)
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
