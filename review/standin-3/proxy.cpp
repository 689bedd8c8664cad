#include "standin.h"

#include <unistd.h>

/** Stands between the entry hosts and an executor. While the file named by --late exists, the next start order is kept without an answer and passed on
    --late-ms later. All else is passed on at once. */
namespace standin {

namespace {

outgoing copyFor(const std::string &backend, const request &received)
{
    outgoing message;
    message.address = backend;
    message.method = received.isPost() ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
    message.target = received.path();
    message.body = received.body();
    for (const char *name : {"Content-Type", "Expect-Instance"}) {
        if (const std::string value = received.header(name); !value.empty()) {
            message.headers[name] = value;
        }
    }
    return message;
}

void passOnLate(const outgoing &message)
{
    send(message, [](int status, const std::string &body) { record("late order carried out -> " + std::to_string(status) + ' ' + body); });
}

} // namespace

int runProxy(const std::map<std::string, std::string> &options)
{
    openRecord(options.at("record"));
    serve(options.at("address"), [&options](const request &received) {
        const outgoing message = copyFor(options.at("backend"), received);
        if (message.target == "/run-start" && ::unlink(options.at("late").c_str()) == 0) {
            record("order without an answer: " + message.body);
            after(std::stoll(options.at("late-ms")), [message] { passOnLate(message); });
            return;
        }
        send(message, [received](int status, const std::string &body) {
            if (status != 0) {
                received.answer(status, body, "application/json");
            }
        });
    });
    event_base_dispatch(loop());
    return 0;
}

} // namespace standin
