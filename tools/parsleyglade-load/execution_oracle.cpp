#include "execution_oracle.h"

#include <nlohmann/json.hpp>

namespace parsleyglade {

namespace {

constexpr std::size_t maximumExamples = 20;
constexpr int statusOk = 200;

/** Enough for the counts of about a million keys at one endpoint. */
constexpr std::size_t maximumResponseBytes = std::size_t{64} * 1024 * 1024;

http_requester_settings requesterSettings(std::size_t endpoints)
{
    http_requester_settings settings;
    settings.maximumConnections = endpoints;
    settings.maximumBodyBytes = maximumResponseBytes;
    return settings;
}

} // namespace

execution_oracle::execution_oracle(event_loop &loop, std::vector<std::string> endpoints)
    : m_requester(loop, requesterSettings(endpoints.size()))
    , m_endpoints(std::move(endpoints))
{
}

void execution_oracle::check(const std::map<std::string, key_history> &histories, bool isIdempotent, std::function<void(oracle_report)> done)
{
    m_histories = &histories;
    m_isIdempotent = isIdempotent;
    m_done = std::move(done);
    m_pendingEndpoints = m_endpoints.size();

    for (const std::string &endpoint : m_endpoints) {
        outgoing_request request;
        request.address = endpoint;
        request.target = "/v1/executions";
        m_requester.send(request, [this, endpoint](const http_result &response) {
            const auto body = nlohmann::json::parse(response.body, nullptr, false);
            if (response.status != statusOk || !body.is_object() || !body.contains("executions") || !body["executions"].is_object()) {
                ++m_report.unreachableEndpoints;
                m_report.examples.push_back(endpoint + " did not return its execution counts");
            } else {
                for (const auto &[key, count] : body["executions"].items()) {
                    m_counts[key] += count.is_number_unsigned() ? count.get<std::uint64_t>() : 0;
                }
            }
            if (--m_pendingEndpoints == 0) {
                compare();
            }
        });
    }
}

void execution_oracle::compare()
{
    const auto addExample = [this](const std::string &key, const std::string &fault) {
        if (m_report.examples.size() < maximumExamples) {
            m_report.examples.push_back(key + ' ' + fault);
        }
    };

    for (const auto &[key, history] : *m_histories) {
        const auto found = m_counts.find(key);
        const std::uint64_t executions = found == m_counts.end() ? 0 : found->second;
        ++m_report.keys;
        m_report.executions += executions;

        if (executions > 1 && !m_isIdempotent) {
            ++m_report.executedTwice;
            addExample(key, "executed " + std::to_string(executions) + " times");
        }
        if (executions == 0 && history.completed > 0) {
            ++m_report.completedNotExecuted;
            addExample(key, "reported as completed but never executed");
        }
        if (executions > 0 && history.lastState == attempt_state::not_run) {
            ++m_report.notRunExecuted;
            addExample(key, "last reported as not-run but executed");
        }
    }

    std::exchange(m_done, nullptr)(m_report);
}

} // namespace parsleyglade
