#include "standin.h"

#include <arpa/inet.h>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>

namespace standin {

namespace {

int recordFile = -1;

std::pair<std::string, std::uint16_t> splitAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {address.substr(0, colon), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

std::string readAll(evbuffer *buffer)
{
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, bytes.data(), bytes.size());
    return bytes;
}

template <typename Clock> std::int64_t millisecondsOf()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

struct client_call
{
    evhttp_connection *connection = nullptr;
    std::function<void(int, std::string)> done;
};

void finishCall(evhttp_request *response, void *argument)
{
    const std::unique_ptr<client_call> call(static_cast<client_call *>(argument));
    const int status = response == nullptr ? 0 : evhttp_request_get_response_code(response);
    const std::string body = status == 0 ? std::string() : readAll(evhttp_request_get_input_buffer(response));
    after(0, [connection = call->connection] { evhttp_connection_free(connection); });
    call->done(status, body);
}

} // namespace

std::int64_t steadyNow()
{
    return millisecondsOf<std::chrono::steady_clock>();
}

std::int64_t wallNow()
{
    return millisecondsOf<std::chrono::system_clock>();
}

event_base *loop()
{
    static event_base *base = event_base_new();
    return base;
}

void after(std::int64_t milliseconds, std::function<void()> function)
{
    constexpr std::int64_t perSecond = 1000;
    const timeval delay{milliseconds / perSecond, (milliseconds % perSecond) * perSecond};
    auto *held = new std::function<void()>(std::move(function));
    const auto run = [](evutil_socket_t, short, void *argument) {
        const std::unique_ptr<std::function<void()>> owned(static_cast<std::function<void()> *>(argument));
        (*owned)();
    };
    event_base_once(loop(), -1, EV_TIMEOUT, run, held, &delay);
}

void openRecord(const std::string &path)
{
    constexpr int mode = 0644;
    recordFile = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
}

void record(const std::string &line)
{
    const std::string text = std::to_string(wallNow()) + ' ' + line + '\n';
    if (recordFile >= 0 && ::write(recordFile, text.data(), text.size()) < 0) {
        std::perror("record");
    }
}

request::request(evhttp_request *handle)
    : m_handle(handle)
{
    evkeyvalq parameters{};
    const char *query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(handle));
    if (query == nullptr || evhttp_parse_query_str(query, &parameters) != 0) {
        return;
    }
    for (const evkeyval *field = parameters.tqh_first; field != nullptr; field = field->next.tqe_next) {
        m_parameters[field->key] = field->value;
    }
    evhttp_clear_headers(&parameters);
}

std::string request::path() const
{
    const char *text = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(m_handle));
    return text == nullptr ? std::string() : text;
}

std::string request::parameter(const std::string &name) const
{
    const auto found = m_parameters.find(name);
    return found == m_parameters.end() ? std::string() : found->second;
}

std::int64_t request::number(const std::string &name, std::int64_t otherwise) const
{
    const std::string text = parameter(name);
    return text.empty() ? otherwise : std::stoll(text);
}

std::string request::header(const std::string &name) const
{
    const char *text = evhttp_find_header(evhttp_request_get_input_headers(m_handle), name.c_str());
    return text == nullptr ? std::string() : text;
}

std::string request::body() const
{
    return readAll(evhttp_request_get_input_buffer(m_handle));
}

bool request::isPost() const
{
    return evhttp_request_get_command(m_handle) == EVHTTP_REQ_POST;
}

void request::answer(int status, const std::string &bytes, const std::string &type) const
{
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, bytes.data(), bytes.size());
    evhttp_add_header(evhttp_request_get_output_headers(m_handle), "Content-Type", type.c_str());
    evhttp_send_reply(m_handle, status, nullptr, buffer);
    evbuffer_free(buffer);
}

void request::answer(int status, const json &document) const
{
    answer(status, document.dump(), "application/json");
}

void serve(const std::string &address, std::function<void(request)> handler)
{
    constexpr int maximumBytes = 8 * 1024 * 1024;
    const auto [ip, port] = splitAddress(address);
    evhttp *server = evhttp_new(loop());
    evhttp_set_allowed_methods(server, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
    evhttp_set_max_body_size(server, maximumBytes);
    const auto run = [](evhttp_request *handle, void *argument) {
        (*static_cast<std::function<void(request)> *>(argument))(request(handle));
    };
    evhttp_set_gencb(server, run, new std::function<void(request)>(std::move(handler)));
    if (evhttp_bind_socket(server, ip.c_str(), port) != 0) {
        std::fprintf(stderr, "cannot listen on %s\n", address.c_str());
        std::exit(2);
    }
}

void send(const outgoing &message, std::function<void(int, std::string)> done)
{
    const auto [ip, port] = splitAddress(message.address);
    auto *call = new client_call{evhttp_connection_base_new(loop(), nullptr, ip.c_str(), port), std::move(done)};
    evhttp_connection_set_timeout(call->connection, message.timeoutSeconds);
    evhttp_request *handle = evhttp_request_new(finishCall, call);
    evkeyvalq *fields = evhttp_request_get_output_headers(handle);
    if (!message.headers.contains("Host")) {
        evhttp_add_header(fields, "Host", message.address.c_str());
    }
    for (const auto &[name, value] : message.headers) {
        evhttp_add_header(fields, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(handle), message.body.data(), message.body.size());
    evhttp_make_request(call->connection, handle, message.method, message.target.c_str());
}

std::string frameRecord(const std::string &key, const std::string &value)
{
    constexpr unsigned lengthBits = 32;
    constexpr unsigned byteBits = 8;
    const std::size_t length = 1 + key.size() + value.size();
    std::string bytes;
    for (unsigned shift = lengthBits; shift > 0; shift -= byteBits) {
        bytes += static_cast<char>((length >> (shift - byteBits)) & 0xffU);
    }
    bytes += static_cast<char>(key.size());
    return bytes + key + value;
}

std::map<std::string, std::string> readOptions(int argc, char *argv[])
{
    constexpr int firstOption = 2;
    constexpr std::size_t dashes = 2;
    std::map<std::string, std::string> options;
    for (int index = firstOption; index + 1 < argc; index += 2) {
        options[std::string(argv[index]).substr(dashes)] = argv[index + 1];
    }
    return options;
}

} // namespace standin
