#pragma once

#include "key_history.h"
#include "oracle_report.h"

#include "external/http_requester.h"

#include <map>

namespace parsleyglade {

/** Fetches the execution counts of the stand-in endpoints and compares them with the answers given. */
class execution_oracle
{
public:
    /** @param endpoints IP:PORT of each endpoint. */
    execution_oracle(event_loop &loop, std::vector<std::string> endpoints);
    execution_oracle(const execution_oracle &) = delete;
    execution_oracle &operator=(const execution_oracle &) = delete;

    /** Compares; calls back once every endpoint has answered or failed. @param histories Must outlive the call. */
    void check(const std::map<std::string, key_history> &histories, bool isIdempotent, std::function<void(oracle_report)> done);

private:
    void compare();

    http_requester m_requester;
    std::vector<std::string> m_endpoints;
    std::size_t m_pendingEndpoints = 0;
    std::map<std::string, std::uint64_t> m_counts;
    const std::map<std::string, key_history> *m_histories = nullptr;
    bool m_isIdempotent = false;
    oracle_report m_report;
    std::function<void(oracle_report)> m_done;
};

} // namespace parsleyglade
