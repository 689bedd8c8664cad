#pragma once

#include "external/http_log_client_settings.h"
#include "external/http_requester.h"
#include "external/log_client.h"

namespace parsleyglade {

/**
 * Client of the log over HTTP, with the protocol in section 12 of docs/design.md.
 *
 * An append is sent once, to one address. It is reported as refused only when it was not sent or the log returned 429 or 503; every other
 * failure is reported as unknown. A read is sent to each address in turn until one returns 200 or 410. After a failure the next call starts
 * at the next address. Appends and reads use separate connections, so that a waiting read does not delay an append.
 */
class http_log_client final : public log_client
{
public:
    /** Callbacks of calls in flight do not run after destruction. @param loop Must outlive this object. */
    http_log_client(event_loop &loop, http_log_client_settings settings);
    ~http_log_client() override;

    void append(const std::string &stream, std::string payload, std::function<void(append_result)> done) override;
    void read(const std::string &stream, log_offset from, std::size_t maximumRecords, duration wait, std::function<void(read_result)> done) override;

private:
    struct read_call;

    void sendRead(const std::shared_ptr<read_call> &call);
    void preferAddressAfter(std::size_t failed);

    http_log_client_settings m_settings;
    std::size_t m_preferredAddress = 0;
    http_requester m_appendRequester;
    http_requester m_readRequester;
};

} // namespace parsleyglade
