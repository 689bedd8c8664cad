#pragma once

#include "external/host_list_client.h"
#include "external/http_host_list_client_settings.h"
#include "external/http_requester.h"

namespace parsleyglade {

/** The host list over HTTP, by the protocol in section 12 of docs/design.md. Each address is tried in turn until one answers. */
class http_host_list_client final : public host_list_client
{
public:
    /** @param loop Must outlive this object. Callbacks of outstanding calls do not run after destruction. */
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
