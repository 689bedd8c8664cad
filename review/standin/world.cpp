#include "world.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <iostream>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::int64_t storeDelay = 4; // milliseconds
constexpr std::size_t offsetBytes = 8;

std::int64_t steadyMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void appendBigEndian(std::string &out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t index = bytes; index-- > 0;) {
        out += static_cast<char>((value >> (8 * index)) & 0xffU);
    }
}

std::string base64(const std::string &bytes)
{
    constexpr const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - index);
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group = (group << 8U) | (offset < count ? static_cast<unsigned char>(bytes[index + offset]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            out += digit <= count ? digits[(group >> (18 - 6 * digit)) & 0x3fU] : '=';
        }
    }
    return out;
}

std::int64_t specValue(const std::string &spec, const std::string &key, std::int64_t defaultValue)
{
    const auto at = spec.find(key + '=');
    return at == std::string::npos ? defaultValue : std::stoll(spec.substr(at + key.size() + 1));
}

} // namespace

world::world(const std::string &recordPath)
    : m_base(event_base_new())
    , m_startedAt(steadyMilliseconds())
    , m_record(recordPath)
{
    std::signal(SIGPIPE, SIG_IGN);
}

world::~world()
{
    event_base_free(m_base);
}

event_base *world::base() const
{
    return m_base;
}

std::int64_t world::now() const
{
    return steadyMilliseconds() - m_startedAt;
}

void world::after(std::int64_t milliseconds, std::function<void()> callback)
{
    const timeval delay{milliseconds / 1000, (milliseconds % 1000) * 1000};
    const auto run = [](evutil_socket_t, short, void *argument) {
        const std::unique_ptr<std::function<void()>> held(static_cast<std::function<void()> *>(argument));
        (*held)();
    };
    event_base_once(m_base, -1, EV_TIMEOUT, run, new std::function<void()>(std::move(callback)), &delay);
}

void world::record(const std::string &line)
{
    char stamp[32];
    std::snprintf(stamp, sizeof(stamp), "%9.3f ", static_cast<double>(now()) / 1000.0);
    m_record << stamp << line << std::endl;
}

void world::run()
{
    event_base_dispatch(m_base);
}

void world::stop()
{
    event_base_loopbreak(m_base);
}

server::server(world &owner, std::string address, std::uint16_t port, handler handle)
    : m_world(owner)
    , m_address(std::move(address))
    , m_port(port)
    , m_handler(std::move(handle))
{
}

server::~server()
{
    close();
}

bool server::listen()
{
    m_server = evhttp_new(m_world.base());
    evhttp_set_allowed_methods(m_server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(
        m_server, [](evhttp_request *request, void *argument) { static_cast<server *>(argument)->m_handler(request); }, this);
    return evhttp_bind_socket(m_server, m_address.c_str(), m_port) == 0;
}

void server::close()
{
    if (m_server != nullptr) {
        evhttp_free(m_server);
        m_server = nullptr;
    }
}

std::string server::address() const
{
    return m_address + ':' + std::to_string(m_port);
}

void server::reply(evhttp_request *request, int status, const std::string &body, const char *type)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", type);
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(request, status, "reply", buffer);
    evbuffer_free(buffer);
}

std::string server::bodyOf(evhttp_request *request)
{
    evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    return body;
}

std::string server::queryValue(evhttp_request *request, const char *key)
{
    const char *query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    evkeyvalq values{};
    if (query == nullptr || evhttp_parse_query_str(query, &values) != 0) {
        return {};
    }
    const char *value = evhttp_find_header(&values, key);
    std::string result = value == nullptr ? std::string() : std::string(value);
    evhttp_clear_headers(&values);
    return result;
}

std::string server::pathOf(evhttp_request *request)
{
    return evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
}

store::store(world &owner, const std::string &address, std::uint16_t port)
    : m_world(owner)
    , m_server(owner, address, port, [this](evhttp_request *request) { handle(request); })
{
}

bool store::listen()
{
    return m_server.listen();
}

void store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    m_topics[topic].records.push_back(static_cast<char>(key.size()) + key + value);
    wakeReads(topic);
}

void store::handle(evhttp_request *request)
{
    const std::string path = server::pathOf(request);
    const std::string topic = server::queryValue(request, "Topic");
    if (downTopics.contains(topic)) {
        server::reply(request, 503, "{}");
    } else if (path == "/log-append") {
        append(request, topic);
    } else if (path == "/log-newest") {
        m_world.after(storeDelay, [this, request, topic] { newest(request, topic); });
    } else if (path == "/log-read") {
        const std::uint64_t from = std::stoull(server::queryValue(request, "From"));
        const std::string wait = server::queryValue(request, "WaitMs");
        if (wait.empty() || from < m_topics[topic].records.size()) {
            m_world.after(storeDelay, [this, request, topic, from] { answerRead(request, topic, from); });
            return;
        }
        m_waiting.push_back({request, topic, from});
        m_world.after(std::stoll(wait), [this, request, topic, from] {
            const auto isThis = [request](const waiting_read &read) {
                return read.request == request;
            };
            if (std::erase_if(m_waiting, isThis) > 0) {
                answerRead(request, topic, from);
            }
        });
    } else {
        server::reply(request, 404, "{}");
    }
}

void store::append(evhttp_request *request, const std::string &topic)
{
    auto &records = m_topics[topic].records;
    const std::string at = server::queryValue(request, "At");
    if (!at.empty() && std::stoull(at) != records.size()) {
        const std::string body = json{{"EndOffset", records.size()}}.dump();
        m_world.after(storeDelay, [request, body] { server::reply(request, 412, body); });
        return;
    }
    const std::uint64_t offset = records.size();
    std::string body = server::bodyOf(request);
    for (std::size_t position = 0; position + 4 <= body.size();) {
        std::uint32_t length = 0;
        std::memcpy(&length, body.data() + position, 4);
        length = ntohl(length);
        records.push_back(body.substr(position + 4, length));
        position += 4 + length;
    }
    const std::string result = json{{"Offset", offset}, {"EndOffset", records.size()}}.dump();
    m_world.after(storeDelay, [request, result] { server::reply(request, 200, result); });
    wakeReads(topic);
}

void store::newest(evhttp_request *request, const std::string &topic)
{
    constexpr std::size_t pageSize = 500;
    const std::string after = server::queryValue(request, "After");
    std::map<std::string, std::pair<std::size_t, std::string>> newestOfKey;
    const auto &records = m_topics[topic].records;
    for (std::size_t offset = 0; offset < records.size(); ++offset) {
        const auto keyLength = static_cast<unsigned char>(records[offset].front());
        newestOfKey[records[offset].substr(1, keyLength)] = {offset, records[offset].substr(1 + keyLength)};
    }
    json items = json::array();
    bool hasMore = false;
    for (const auto &[key, value] : newestOfKey) {
        if (key <= after || value.second.empty()) {
            continue;
        }
        if (items.size() == pageSize) {
            hasMore = true;
            break;
        }
        items.push_back({{"Key", key}, {"Value", base64(value.second)}, {"Offset", value.first}});
    }
    server::reply(request, 200, json{{"items", items}, {"HasMore", hasMore}, {"EndOffset", records.size()}}.dump());
}

void store::answerRead(evhttp_request *request, const std::string &topic, std::uint64_t from)
{
    const auto &records = m_topics[topic].records;
    const std::string limit = server::queryValue(request, "MaxKb");
    const std::size_t maximum = (limit.empty() ? 1024U : std::stoul(limit)) * 1024U;
    std::string body;
    appendBigEndian(body, records.size(), offsetBytes);
    appendBigEndian(body, 0, offsetBytes);
    for (std::size_t offset = from; offset < records.size() && (offset == from || body.size() + records[offset].size() < maximum); ++offset) {
        appendBigEndian(body, records[offset].size(), 4);
        body += records[offset];
    }
    server::reply(request, 200, body, "application/octet-stream");
}

void store::wakeReads(const std::string &topic)
{
    for (auto read = m_waiting.begin(); read != m_waiting.end();) {
        if (read->topic == topic) {
            m_world.after(storeDelay, [this, held = *read] { answerRead(held.request, held.topic, held.from); });
            read = m_waiting.erase(read);
        } else {
            ++read;
        }
    }
}

run_journal::run_journal(world &owner)
    : m_world(owner)
{
}

void run_journal::started(const std::string &task, int run, const std::string &executor)
{
    ++m_starts;
    const std::string name = task + " run " + std::to_string(run) + " on " + executor;
    m_world.record("executor: starts " + name);
    for (const std::string &other : m_running[task]) {
        m_suspicions.push_back({name + " starts while it runs as " + other, nullptr});
    }
    for (const auto &end : m_doneEnds[task]) {
        m_suspicions.push_back({name + " starts after a run has ended done", end});
    }
    m_running[task].insert("run " + std::to_string(run) + " on " + executor);
}

std::shared_ptr<run_journal::run_end> run_journal::ended(const std::string &task, int run, const std::string &executor, const std::string &how)
{
    m_world.record("executor: ends " + task + " run " + std::to_string(run) + " on " + executor + " as " + how);
    m_running[task].erase("run " + std::to_string(run) + " on " + executor);
    auto end = std::make_shared<run_end>();
    end->task = task;
    end->isDone = how == "done";
    m_failedEnds[task.substr(0, task.find('.'))] += how == "failed" ? 1 : 0;
    if (end->isDone) {
        m_doneEnds[task].push_back(end);
    }
    return end;
}

void run_journal::lostWithExecutor(const std::string &task, int run, const std::string &executor)
{
    m_running[task].erase("run " + std::to_string(run) + " on " + executor);
}

int run_journal::countTwice(bool print, const std::string &job)
{
    int count = 0;
    for (const suspicion &item : m_suspicions) {
        const bool isJudged = item.text.starts_with(job);
        if (isJudged && (item.end == nullptr || (item.end->isNoted && !item.end->hasLapsedBefore))) {
            ++count;
            if (print) {
                m_world.record("TWICE: " + item.text + (item.end == nullptr ? "" : ", and that end was taken note of"));
            }
        }
    }
    return count;
}

std::size_t run_journal::startCount() const
{
    return m_starts;
}

int run_journal::failedEnds(const std::string &job) const
{
    const auto found = m_failedEnds.find(job);
    return found == m_failedEnds.end() ? 0 : found->second;
}

executor::executor(world &owner, store &registry, run_journal &journal, settings values)
    : m_world(owner)
    , m_registry(registry)
    , m_journal(journal)
    , m_settings(std::move(values))
    , m_server(owner, m_settings.address, m_settings.port, [this](evhttp_request *request) { handle(request); })
{
}

bool executor::start()
{
    ++m_life;
    m_isCut = false;
    m_born = unixMilliseconds();
    m_startedAt = m_world.now();
    m_sequence = 0;
    m_fence = 0;
    m_leaseEnd = 0;
    m_nextNumber = 1;
    m_running.clear();
    m_refusedUpTo.clear();
    m_finished.clear();
    m_world.record("executor: " + m_settings.id + " starts, born " + std::to_string(m_born));
    if (!m_server.listen()) {
        return false;
    }
    heartbeat(m_life);
    checkLease(m_life);
    return true;
}

void executor::crash()
{
    m_world.record("executor: " + m_settings.id + " crashes after " + std::to_string(clock()) + " ms");
    ++m_life;
    m_holds.clear();
    for (const auto &[task, running] : m_running) {
        m_journal.lostWithExecutor(task, running.run, m_settings.id);
    }
    m_running.clear();
    m_server.close();
}

void executor::setCut(bool isCut)
{
    m_world.record("executor: " + m_settings.id + (isCut ? " is cut off" : " is reachable again"));
    m_isCut = isCut;
    if (isCut) {
        m_holds.clear();
    }
}

std::int64_t executor::leaseLeft() const
{
    return m_leaseEnd - clock();
}

const executor::settings &executor::values() const
{
    return m_settings;
}

std::int64_t executor::clock() const
{
    return m_world.now() - m_startedAt + 1;
}

void executor::heartbeat(std::uint64_t life)
{
    if (life != m_life) {
        return;
    }
    if (m_isCut) {
        m_world.after(m_settings.heartbeat, [this, life] { heartbeat(life); });
        return;
    }
    const json entry{{"Service", m_settings.service},
                     {"Address", m_server.address()},
                     {"Zone", "ushuaia"},
                     {"Version", "v1"},
                     {"Slots", 8},
                     {"State", "ready"},
                     {"ColdRemainingMs", 0},
                     {"Capacity", {{"Cpu", 32000}, {"MemMb", 131072}, {"Gpus", 0}}},
                     {"Labels", {"a", "r1-1"}},
                     {"ClockMs", clock()},
                     {"Seq", ++m_sequence},
                     {"born", m_born}};
    m_registry.put("keyed.servers", m_settings.id, entry.dump());
    m_world.after(m_settings.heartbeat, [this, life] { heartbeat(life); });
}

void executor::handle(evhttp_request *request)
{
    if (m_isCut) {
        return; // never answered; the caller's time-out ends the connection
    }
    const std::string path = server::pathOf(request);
    const json body = json::parse(server::bodyOf(request), nullptr, false);
    const char *intended = evhttp_find_header(evhttp_request_get_input_headers(request), "Expect-Instance");
    if (intended != nullptr && m_settings.id != intended) {
        answer(request, 421, json::object());
        return;
    }
    if (!body.is_object()) {
        answer(request, 400, json::object());
        return;
    }
    const std::int64_t fence = body.value("FencingToken", std::int64_t{0});
    if (fence < m_fence) {
        answer(request, 409, {{"Reason", "fence"}});
        return;
    }
    m_fence = fence;
    if (path == "/run-start") {
        handleStart(request, body);
    } else if (path == "/run-stop") {
        handleStop(request, body);
    } else if (path == "/hold") {
        handleHold(request, body);
    } else {
        answer(request, path == "/pace" ? 200 : 400, json::object());
    }
}

void executor::handleStart(evhttp_request *request, const json &body)
{
    const std::string task = body.at("Task");
    const int run = body.at("Run");
    const auto known = m_running.find(task);
    if (known != m_running.end() && known->second.run == run) {
        extendLease(body);
        answer(request, 200, json::object());
        return;
    }
    if (run <= m_refusedUpTo[task] || known != m_running.end()) {
        extendLease(body);
        answer(request, 409, {{"Reason", "old"}});
        return;
    }
    if (body.at("DeadlineMs").get<std::int64_t>() <= clock()) {
        answer(request, 409, {{"Reason", "late"}});
        return;
    }
    extendLease(body);
    const std::string spec = body.at("Spec");
    const std::int64_t duration = specValue(spec, "ms", 100);
    const bool fails = run == 1 && spec.find("fail-first") != std::string::npos;
    m_running[task] = {run, m_world.now(), duration, false};
    m_journal.started(task, run, m_settings.id);
    m_world.after(duration, [this, life = m_life, task, run, fails] {
        const auto found = m_running.find(task);
        if (life == m_life && found != m_running.end() && found->second.run == run && !found->second.isStopping) {
            finish(task, run, fails ? "failed" : "done");
        }
    });
    answer(request, 200, json::object());
}

void executor::handleStop(evhttp_request *request, const json &body)
{
    const std::string task = body.at("Task");
    const int run = body.at("Run");
    m_refusedUpTo[task] = std::max(m_refusedUpTo[task], run);
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second.run == run && !found->second.isStopping) {
        found->second.isStopping = true;
        m_world.after(m_settings.stopTime, [this, life = m_life, task, run] {
            const auto stopping = m_running.find(task);
            if (life == m_life && stopping != m_running.end() && stopping->second.run == run) {
                finish(task, run, "stopped");
            }
        });
    }
    answer(request, 200, json::object());
}

void executor::handleHold(evhttp_request *request, const json &body)
{
    const std::int64_t lastSeen = body.value("LastSeen", std::int64_t{0});
    std::erase_if(m_finished, [lastSeen](const finished_task &item) {
        if (item.number <= lastSeen) {
            item.end->isNoted = true;
        }
        return item.number <= lastSeen;
    });
    extendLease(body);
    const std::int64_t wait = body.value("WaitMs", std::int64_t{0});
    if (wait == 0 || !m_finished.empty()) {
        answerHold(request);
        return;
    }
    const std::uint64_t id = m_nextHold++;
    m_holds.push_back({request, id});
    m_world.after(wait, [this, id] {
        for (auto hold = m_holds.begin(); hold != m_holds.end(); ++hold) {
            if (hold->id == id) {
                evhttp_request *held = hold->request;
                m_holds.erase(hold);
                answerHold(held);
                return;
            }
        }
    });
}

void executor::answer(evhttp_request *request, int status, json body)
{
    body["ClockMs"] = clock();
    body["born"] = m_born;
    server::reply(request, status, body.dump());
}

void executor::answerHold(evhttp_request *request)
{
    json running = json::array();
    for (const auto &[task, item] : m_running) {
        const std::int64_t percent = std::min<std::int64_t>(99, (m_world.now() - item.startedAt) * 100 / std::max<std::int64_t>(item.duration, 1));
        running.push_back({task, item.run, "", percent, 0});
    }
    json finished = json::array();
    for (const finished_task &item : m_finished) {
        finished.push_back({item.number, item.task, item.run, item.how, ""});
    }
    answer(request, 200, {{"Running", running}, {"Finished", finished}});
}

void executor::finish(const std::string &task, int run, const std::string &how)
{
    m_running.erase(task);
    m_refusedUpTo[task] = std::max(m_refusedUpTo[task], run);
    m_finished.push_back({m_nextNumber++, task, run, how, m_journal.ended(task, run, m_settings.id, how)});
    for (const waiting_hold &hold : std::exchange(m_holds, {})) {
        answerHold(hold.request);
    }
}

void executor::extendLease(const json &body)
{
    if (body.contains("DeadlineMs")) {
        const std::int64_t until = std::min(body.at("DeadlineMs").get<std::int64_t>(), clock() + m_settings.maximumHold);
        m_leaseEnd = std::max(m_leaseEnd, until);
    }
}

void executor::checkLease(std::uint64_t life)
{
    constexpr std::int64_t interval = 10;
    if (life != m_life) {
        return;
    }
    if (!m_running.empty() && clock() >= m_leaseEnd) {
        for (const finished_task &item : m_finished) {
            item.end->hasLapsedBefore = true;
        }
        const auto running = m_running;
        for (const auto &[task, item] : running) {
            finish(task, item.run, "lapsed");
        }
    }
    m_world.after(interval, [this, life] { checkLease(life); });
}

entry_hosts::entry_hosts(world &owner, std::string folder, std::string network, int count)
    : m_world(owner)
    , m_folder(std::move(folder))
    , m_network(std::move(network))
    , m_processes(static_cast<std::size_t>(count), -1)
{
}

entry_hosts::~entry_hosts()
{
    killAll(SIGKILL);
}

void entry_hosts::start(int number)
{
    const std::string ip = m_network + std::to_string(number + 1);
    const std::string name = "front-" + std::to_string(number + 1);
    const std::string path = m_folder + '/' + name + ".json";
    const json settings{{"entryHost", name},
                        {"dataCentre", "zone-" + std::to_string(number % 4)},
                        {"region", "patagonia"},
                        {"callerAddress", ip + ":8624"},
                        {"readinessAddress", ip + ":8622"},
                        {"peerAddress", ip + ":7060"},
                        {"metricsAddress", ip + ":7061"},
                        {"storeAddress", m_network + "100:8621"},
                        {"hostServiceAddress", m_network + "101:8621"},
                        {"adviceAddress", m_network + "102:8621"},
                        {"sharedKey", "parsleyglade"},
                        {"gracePeriodSeconds", 6},
                        {"maximumLeaseMilliseconds", 6000},
                        {"configurationBoundMilliseconds", 2000},
                        {"hostOrderLeaseMilliseconds", 3000},
                        {"processorShare", 0.25},
                        {"maximumDescriptors", 4100},
                        {"logLevel", "info"}};
    std::ofstream(path) << settings.dump(2);

    const std::string log = m_folder + '/' + name + ".log";
    const std::string environment = "PARSLEYGLADE_BOOT=" + path;
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        const char *arguments[] = {"target/parsleyglade-platform", nullptr};
        const char *variables[] = {environment.c_str(), "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", nullptr};
        ::execve(arguments[0], const_cast<char **>(arguments), const_cast<char **>(variables));
        ::_exit(127);
    }
    m_processes[static_cast<std::size_t>(number)] = child;
    m_world.record("supervisor: starts " + name);
}

void entry_hosts::kill(int number, int signal)
{
    pid_t &process = m_processes[static_cast<std::size_t>(number)];
    if (process <= 0) {
        return;
    }
    ::kill(process, signal);
    m_world.record("supervisor: sends signal " + std::to_string(signal) + " to front-" + std::to_string(number + 1));
    if (signal == SIGKILL) {
        ::waitpid(process, nullptr, 0);
        process = -1;
    }
}

void entry_hosts::killAll(int signal)
{
    for (int number = 0; number < count(); ++number) {
        kill(number, signal);
    }
}

int entry_hosts::count() const
{
    return static_cast<int>(m_processes.size());
}

std::string entry_hosts::callerAddress(int number) const
{
    return m_network + std::to_string(number + 1) + ":8624";
}

std::string entry_hosts::readyAddress(int number) const
{
    return m_network + std::to_string(number + 1) + ":8622";
}

namespace {

constexpr const char *callerHost = "jobs.example";
constexpr const char *prefix = "/desk/";
constexpr std::uint16_t platformPort = 8621;
constexpr std::uint16_t executorPort = 9000;

/** A part of the loopback range for each script, so that two of them can run at a time. */
std::string chooseNetwork()
{
    return "127." + std::to_string(20 + ::getpid() % 200) + '.' + std::to_string(::getpid() / 200 % 250) + '.';
}

} // namespace

deployment::deployment(const settings &values)
    : environment(values.record)
    , network(chooseNetwork())
    , platformStore(environment, network + "100", platformPort)
    , machines(environment, network + "101", platformPort, [this](evhttp_request *request) { listMachines(request); })
    , journal(environment)
    , hosts(environment, values.folder, network, values.hosts)
{
    for (int number = 1; number <= values.executors; ++number) {
        executor::settings item;
        item.id = "i-" + std::to_string(1000 + number);
        item.service = "desk";
        item.address = network + std::to_string(110 + number);
        item.port = executorPort;
        executors.push_back(std::make_unique<executor>(environment, platformStore, journal, item));
    }
}

void deployment::listMachines(evhttp_request *request)
{
    if (server::pathOf(request) != "/machines") {
        server::reply(request, 503, "{}");
        return;
    }
    json list = json::array();
    for (const auto &item : executors) {
        const executor::settings &values = item->values();
        list.push_back({{"Machine", "m-" + values.id}, {"Pool", values.service}, {"State", "up"}, {"Zone", "ushuaia"}, {"Labels", {"a", "r1-1"}}});
        list.back().update({{"Capacity", {{"Cpu", 32000}, {"MemMb", 131072}, {"Gpus", 0}}}, {"Id", values.id}});
    }
    server::reply(request, 200, json{{"Machines", list}, {"NextToken", nullptr}}.dump());
}

bool deployment::start()
{
    json route{{"Name", "r-work"}, {"Host", callerHost}, {"PathPrefix", prefix}, {"Kind", "non_idempotent"}, {"TimeoutMs", 3000}};
    route.update({{"TargetLatencyMs", 600}, {"Priority", 0}, {"Service", "desk"}, {"MaxAttempts", maximumAttempts}, {"Stretch", 1.6}});
    const json service{{"Name", "desk"}, {"AdmissionCheck", false}, {"Standby", false}};
    const json configuration{{"Version", 1}, {"Routes", json::array({route})}, {"Services", json::array({service})}, {"Limits", {{"MaxBodyBytes", 262144}}}};
    platformStore.put("keyed.op", "config", configuration.dump());
    if (!platformStore.listen() || !machines.listen()) {
        return false;
    }
    for (const auto &item : executors) {
        if (!item->start()) {
            return false;
        }
    }
    for (int number = 0; number < hosts.count(); ++number) {
        hosts.start(number);
    }
    return true;
}

void deployment::whenReady(std::function<void()> ready)
{
    constexpr std::int64_t pollInterval = 200;
    constexpr std::int64_t settlingTime = 4000; // without any disturbance before the first event
    sendRequest(environment, hosts.readyAddress(0), "GET", "/ready", "ready", "", [this, ready](int status, const std::string &) {
        if (status == 200) {
            environment.record("requester: the entry hosts are ready");
            isReady = true;
            environment.after(settlingTime, ready);
        } else {
            environment.after(pollInterval, [this, ready] { whenReady(ready); });
        }
    });
}

void deployment::submit(int number, const std::string &spec, std::int64_t estimate)
{
    const std::string id = jobId(number);
    const json step{{"Count", 1}, {"Cpu", 1000}, {"MemMb", 256}, {"EstimateMs", estimate}};
    const json job{{"Spec", spec}, {"Steps", json::array({step})}};
    environment.record("requester: submits " + id + " with Spec " + spec);
    sendRequest(environment, hosts.callerAddress(number % hosts.count()), "POST", prefix + id, callerHost, job.dump(),
                [this, id, number](int status, const std::string &) {
                    environment.record("requester: submission of " + id + " answered " + std::to_string(status));
                    submissionStatus[number] = status;
                });
}

void deployment::query(int number, std::function<void(int, const std::string &)> done)
{
    const std::string id = jobId(number);
    sendRequest(environment, hosts.callerAddress(number % hosts.count()), "GET", prefix + id, callerHost, "",
                [this, id, done](int status, const std::string &body) {
                    environment.record("requester: state of " + id + ": " + std::to_string(status) + ' ' + body);
                    const json answer = json::parse(body, nullptr, false);
                    done(status, answer.is_object() ? answer.value("State", std::string()) : std::string());
                });
}

std::string deployment::jobId(int number)
{
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", 0x5c0e7a00U + static_cast<unsigned>(number));
    return id;
}

bool deployment::hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

void sendRequest(world &owner, const std::string &address, const std::string &method, const std::string &path, const std::string &host, const std::string &body,
                 std::function<void(int, const std::string &)> done)
{
    const auto colon = address.rfind(':');
    evhttp_connection *connection
        = evhttp_connection_base_new(owner.base(), nullptr, address.substr(0, colon).c_str(), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    constexpr int timeoutSeconds = 3;
    evhttp_connection_set_timeout(connection, timeoutSeconds);
    const auto onResponse = [](evhttp_request *request, void *argument) {
        const std::unique_ptr<std::function<void(int, const std::string &)>> held(static_cast<std::function<void(int, const std::string &)> *>(argument));
        const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
        (*held)(status, status == 0 ? std::string() : server::bodyOf(request));
    };
    evhttp_request *request = evhttp_request_new(onResponse, new std::function<void(int, const std::string &)>(std::move(done)));
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", host.c_str());
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, "Deadline-Ms", "3000");
    evhttp_add_header(headers, "Connection", "close");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    const evhttp_cmd_type command = method == "POST" ? EVHTTP_REQ_POST : method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
    evhttp_connection_free_on_completion(connection);
    evhttp_make_request(connection, request, command, path.c_str());
}

} // namespace review
