#pragma once

#include "external/fake_log.h"
#include "external/standin/standin_server.h"

namespace parsleyglade {

/** Stand-in for the platform's log: serves a fake_log over the HTTP protocol in docs/standins.md. */
class standin_log
{
public:
    /** Listens at IP:PORT. Throws std::runtime_error when it can't. @param loop Must outlive this object. @see standin_server */
    standin_log(event_loop &loop, const std::string &address, fake_log_settings settings);
    standin_log(const standin_log &) = delete;
    standin_log &operator=(const standin_log &) = delete;

    /** IP:PORT that the stand-in listens at. */
    const std::string &address() const;

    /** The underlying log, for tests in the same process. */
    fake_log &log();

private:
    using exchange_pointer = std::shared_ptr<standin_exchange>;

    void handleRequest(const exchange_pointer &exchange);
    void handleAppend(const exchange_pointer &exchange, const std::string &stream);
    void handleRead(const exchange_pointer &exchange, const std::string &stream);
    void handleFaults(const exchange_pointer &exchange);
    void handleTrim(const exchange_pointer &exchange);

    fake_log m_log;
    standin_server m_server;
};

} // namespace parsleyglade
