#pragma once

#include "external/host_list_client.h"
#include "external/http_host_list_client_settings.h"
#include "external/http_requester.h"

namespace parsleyglade {

/**
 * Client of the host list over HTTP, with the protocol in section 12 of docs/design.md. A fetch tries each address in turn until one returns a
 * valid list. After a failure the next fetch starts at the next address.
 */
class http_host_list_client final : public host_list_client
{
public:
    /** Callbacks of calls in flight do not run after destruction. @param loop Must outlive this object. */
    http_host_list_client(event_loop &loop, http_host_list_client_settings settings);
    ~http_host_list_client() override;

    void fetch(std::function<void(outcome<host_list>)> done) override;

private:
    void fetchFrom(std::size_t address, std::size_t attemptsLeft, std::function<void(outcome<host_list>)> done);

    http_host_list_client_settings m_settings;
    std::size_t m_preferredAddress = 0;
    http_requester m_requester;
};

} // namespace parsleyglade
