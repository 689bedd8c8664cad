#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <functional>
#include <map>
#include <string>

/** What the stand-ins of the third review share: an event loop, an HTTP server and client, and the record of what was seen. */
namespace standin {

using json = nlohmann::json;

/** Steady time in milliseconds. */
std::int64_t steadyNow();

/** Wall time in milliseconds since 1970. */
std::int64_t wallNow();

event_base *loop();

/** Runs a function once after a delay. */
void after(std::int64_t milliseconds, std::function<void()> function);

/** Appends a line to the record, with the wall time in front. Lines of several processes do not mix. */
void record(const std::string &line);
void openRecord(const std::string &path);

/** A request in progress. It must be answered exactly once, now or later. */
class request
{
public:
    explicit request(evhttp_request *handle);

    std::string path() const;
    std::string parameter(const std::string &name) const;
    std::int64_t number(const std::string &name, std::int64_t otherwise) const;
    std::string header(const std::string &name) const;
    std::string body() const;
    bool isPost() const;

    void answer(int status, const std::string &bytes, const std::string &type) const;
    void answer(int status, const json &document) const;

private:
    evhttp_request *m_handle;
    std::map<std::string, std::string> m_parameters;
};

/** Serves HTTP on a loopback address. Ends the process if it can't listen there. */
void serve(const std::string &address, std::function<void(request)> handler);

/** A request to send. */
struct outgoing
{
    std::string address;
    evhttp_cmd_type method = EVHTTP_REQ_POST;
    std::string target;
    std::string body;
    std::map<std::string, std::string> headers;
    int timeoutSeconds = 5;
};

/** Sends a request and reports the status and the body of the answer; status 0 without an answer. */
void send(const outgoing &message, std::function<void(int, std::string)> done);

/** Frames a record of a keyed topic as the store takes it. */
std::string frameRecord(const std::string &key, const std::string &value);

/** Reads the options of a command line, which are pairs of --name and value. */
std::map<std::string, std::string> readOptions(int argc, char *argv[]);

/** Programs of the stand-in, by the first word of the command line. */
int runPlatform(const std::map<std::string, std::string> &options);
int runExecutor(const std::map<std::string, std::string> &options);
int runRequest(const std::map<std::string, std::string> &options);
int runWrite(const std::map<std::string, std::string> &options);
int runProxy(const std::map<std::string, std::string> &options);

} // namespace standin
