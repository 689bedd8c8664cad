#pragma once

#include "external/fake_host_list.h"
#include "external/standin/standin_server.h"

namespace parsleyglade {

/** Stand-in for the platform's host list: serves a fake_host_list over the HTTP protocol in docs/standins.md. */
class standin_host_list
{
public:
    /** Listens at IP:PORT. Throws std::runtime_error when it can't. @param loop Must outlive this object. @see standin_server */
    standin_host_list(event_loop &loop, const std::string &address);
    standin_host_list(const standin_host_list &) = delete;
    standin_host_list &operator=(const standin_host_list &) = delete;

    /** IP:PORT that the stand-in listens at. */
    const std::string &address() const;

    /** The underlying list, for tests in the same process. */
    fake_host_list &list();

private:
    void handleRequest(const std::shared_ptr<standin_exchange> &exchange);
    void handleFaults(const std::shared_ptr<standin_exchange> &exchange);

    fake_host_list m_list;
    standin_server m_server;
};

} // namespace parsleyglade
