#pragma once

#include "key_history.h"
#include "oracle_report.h"

#include "external/http_requester.h"

#include <map>

namespace parsleyglade {

/** Fetches the execution counts of the stand-in endpoints and compares them with the responses that the load generator received. */
class execution_oracle
{
public:
    /** @param loop Must outlive this object. @param endpoints IP:PORT of each endpoint. */
    execution_oracle(event_loop &loop, std::vector<std::string> endpoints);
    execution_oracle(const execution_oracle &) = delete;
    execution_oracle &operator=(const execution_oracle &) = delete;

    /**
     * Fetches the counts and compares them with the histories. To be called at most once, and only with at least one endpoint.
     *
     * @param histories By Idempotency-Key; must stay valid until the callback runs.
     * @param isIdempotent Whether a key may be executed more than once.
     * @param done Called once, after every endpoint has responded or failed.
     */
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
