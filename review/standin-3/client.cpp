#include "standin.h"

#include <cstdio>

/** A caller, and a writer of the store, that send one request each. */
namespace standin {

namespace {

evhttp_cmd_type methodOf(const std::string &name)
{
    if (name == "GET") {
        return EVHTTP_REQ_GET;
    }
    return name == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_POST;
}

/** Sends the request and prints the status and the body of the answer. */
int sendAndPrint(const outgoing &message)
{
    int status = 0;
    send(message, [&status](int received, const std::string &body) {
        status = received;
        std::printf("%d %s\n", received, body.c_str());
        event_base_loopbreak(loop());
    });
    event_base_dispatch(loop());
    return status == 0 ? 1 : 0;
}

} // namespace

int runRequest(const std::map<std::string, std::string> &options)
{
    constexpr int callerTimeoutSeconds = 4;
    outgoing message;
    message.address = options.at("address");
    message.method = methodOf(options.at("method"));
    message.target = options.at("path");
    message.headers = {{"Host", options.at("host")}, {"Content-Type", "application/json"}};
    message.timeoutSeconds = callerTimeoutSeconds;
    const auto body = options.find("body");
    if (body != options.end()) {
        message.body = body->second;
    }
    return sendAndPrint(message);
}

int runWrite(const std::map<std::string, std::string> &options)
{
    outgoing message;
    message.address = options.at("store");
    message.target = "/log-append?part=0&Topic=" + options.at("topic");
    message.headers = {{"Standin-Writer", options.at("writer")}};
    message.body = frameRecord(options.at("key"), options.at("value"));
    return sendAndPrint(message);
}

} // namespace standin
