#include "deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *templatePath = "deploy/node.json.template";
constexpr const char *deployFile = "deploy/system.toml";
constexpr int requestTimeout = 3'000;
constexpr auto graceTime = std::chrono::seconds{6};
constexpr auto readyTime = std::chrono::seconds{15};
constexpr auto retryDelay = std::chrono::milliseconds{200};
constexpr int machineMillicores = 16'000;
constexpr int machineMegabytes = 65'536;
const std::vector<std::string> zones{"an-duong", "le-chan", "hong-bang", "kien-an"};

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** The command of the deploy file: the value of its first line "run". */
std::string deployCommand()
{
    const std::string text = readFile(deployFile);
    const std::size_t begin = text.find('"', text.find("\nrun = ")) + 1;
    return text.substr(begin, text.find('"', begin) - begin);
}

std::string replaceAll(std::string text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

void sleepFor(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

} // namespace

deployment::deployment(record &log, std::string folder, deployment_bounds bounds)
    : m_log(log)
    , m_folder(std::move(folder))
    , m_bounds(bounds)
    , m_runs(log)
    , m_cloud([this](const http_request &request) { return answerCloud(request); })
{
}

deployment::~deployment()
{
    end();
}

void deployment::addMachines(const std::string &pool, int count, int perRack, const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    for (int index = 0; index < count; ++index) {
        machine added;
        added.name = "m-" + pool + '-' + kind + '-' + std::to_string(index);
        added.pool = pool;
        added.zone = zones[static_cast<std::size_t>(index / perRack) % zones.size()];
        added.rack = "r-" + pool + '-' + kind + '-' + std::to_string(index / perRack);
        added.kind = kind;
        boot(m_machines[added.name] = added);
    }
}

void deployment::boot(machine &host)
{
    host.runs = std::make_shared<executor>("i-" + std::to_string(10'000 + m_nextExecutor++), m_runs, m_bounds.executors);
    host.state = "up";
    m_log.write("boot " + host.runs->id() + " on " + host.name);
}

void deployment::configure(const nlohmann::json &routes, const nlohmann::json &services)
{
    m_store.put("keyed.op", "config", nlohmann::json{{"Version", 3}, {"Routes", routes}, {"Services", services}, {"Limits", nlohmann::json::object()}}.dump());
}

bool deployment::start()
{
    std::thread([this] { registerExecutors(); }).detach();
    for (int index = 0; index < m_bounds.entryHosts; ++index) {
        entry_host &host = m_hosts.emplace_back();
        host.name = "front-" + std::to_string(index + 1);
        host.zone = zones[static_cast<std::size_t>(index) % zones.size()];
        host.front = "127.0.0.1:" + std::to_string(findFreePort());
        host.ready = "127.0.0.1:" + std::to_string(findFreePort());
        const int peerPort = findFreePort();
        host.peer = "127.0.0.1:" + std::to_string(peerPort);
        host.settingsPath = m_folder + '/' + host.name + ".json";
        std::ofstream(host.settingsPath) << fillTemplate(host, peerPort, findFreePort());
        startHost(host);
    }
    const time_point deadline = clock::now() + readyTime;
    while (clock::now() < deadline) {
        const auto isReady = [](const entry_host &host) {
            const auto response = sendRequest(host.ready, "GET", "/ready", "platform", "", 1'000);
            return response && response->status == 200;
        };
        if (std::all_of(m_hosts.begin(), m_hosts.end(), isReady)) {
            m_log.write("all entry hosts are ready");
            return true;
        }
        sleepFor(retryDelay);
    }
    return false;
}

std::string deployment::fillTemplate(const entry_host &host, int peerPort, int metricsPort) const
{
    const std::vector<std::pair<std::string, nlohmann::json>> values{
        {"NodeName", host.name},
        {"Zone", host.zone},
        {"Region", "haiphong"},
        {"Listen.Front", host.front},
        {"Listen.Ready", host.ready},
        {"Ip", "127.0.0.1"},
        {"InternalPorts.0", peerPort},
        {"InternalPorts.1", metricsPort},
        {"platform.Address", m_store.address()},
        {"CloudApi.Address", m_cloud.address()},
        {"Advice", m_cloud.address()},
        {"Bounds.GraceS", 6},
        {"Bounds.MaxHoldMs", m_bounds.executors.maximumHoldMilliseconds},
        {"Bounds.ConfigApplyMs", 2'000},
        {"Bounds.LeaseMs", 3'000},
        {"Limits.CpuShare", 0.25},
        {"Limits.MaxFds", 4'100},
    };
    std::string text = readFile(templatePath);
    for (const auto &[name, value] : values) {
        text = replaceAll(text, "{{" + name + "|json}}", value.dump());
        text = replaceAll(text, "{{" + name + "}}", value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

void deployment::startHost(entry_host &host)
{
    const std::string program = deployCommand();
    const std::string output = m_folder + '/' + host.name + ".log";
    const std::string variable = "PARSLEYGLADE_BOOT=" + host.settingsPath;
    const pid_t process = ::fork();
    if (process == 0) {
        const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        const char *arguments[] = {program.c_str(), nullptr};
        const char *environment[] = {variable.c_str(), nullptr};
        ::execve(program.c_str(), const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
        ::_exit(127);
    }
    host.process = process;
    m_log.write("entry host " + host.name + " started");
}

void deployment::signalHost(entry_host &host, int signal)
{
    m_log.write("entry host " + host.name + " gets signal " + std::to_string(signal));
    ::kill(host.process, signal);
    if (signal == SIGKILL) {
        ::waitpid(host.process, nullptr, 0);
        host.process = -1;
    }
}

void deployment::restartInOrder(entry_host &host)
{
    signalHost(host, SIGTERM);
    const time_point deadline = clock::now() + graceTime;
    while (clock::now() < deadline && ::waitpid(host.process, nullptr, WNOHANG) == 0) {
        sleepFor(std::chrono::milliseconds{50});
    }
    if (clock::now() >= deadline) {
        signalHost(host, SIGKILL);
    }
    startHost(host);
}

std::list<entry_host> &deployment::hosts()
{
    return m_hosts;
}

entry_host *deployment::leader()
{
    const std::string announcement = m_store.newest("keyed.parsleyglade-leader", "leader");
    for (entry_host &host : m_hosts) {
        if (announcement.find(host.peer) != std::string::npos) {
            return &host;
        }
    }
    return nullptr;
}

void deployment::killRack(const std::string &rack, std::chrono::milliseconds time)
{
    const std::lock_guard lock(m_mutex);
    m_log.write("rack " + rack + " is dark");
    std::vector<std::string> dark;
    for (auto &[name, host] : m_machines) {
        if (host.rack == rack && host.runs) {
            host.runs->kill();
            host.state = "down";
            dark.push_back(name);
        }
    }
    std::thread([this, dark, time] {
        sleepFor(time);
        const std::lock_guard returning(m_mutex);
        for (const std::string &name : dark) {
            m_store.put("keyed.servers", m_machines[name].runs->id(), "");
            m_retired.push_back(m_machines[name].runs);
            boot(m_machines[name]);
        }
    }).detach();
}

void deployment::requestWave(std::int64_t wave, const std::vector<std::string> &machines, int cap, int withinSeconds)
{
    m_log.write("wave " + std::to_string(wave) + " requested");
    m_store.put("keyed.op", "wave/" + std::to_string(wave),
                nlohmann::json{{"Wave", wave}, {"Machines", machines}, {"WithinS", withinSeconds}, {"Cap", cap}}.dump());
}

std::string deployment::waveState(std::int64_t wave)
{
    const std::string value = m_store.newest("keyed.status", "wave/" + std::to_string(wave));
    return value.empty() ? std::string() : nlohmann::json::parse(value).value("State", "");
}

requested_job deployment::submit(const std::string &host, const std::string &prefix, const nlohmann::json &body, const task_kind &kind, int timeoutMilliseconds)
{
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", 0x5c0e0000U + static_cast<unsigned>(++m_nextJob));
    requested_job job{id, prefix};
    m_runs.describe(job.id, kind);
    const time_point deadline = clock::now() + std::chrono::milliseconds(timeoutMilliseconds);
    auto target = m_hosts.begin();
    std::advance(target, m_nextJob % static_cast<int>(m_hosts.size()));
    while (clock::now() < deadline) {
        const auto response = sendRequest(target->front, "POST", prefix + job.id, host, body.dump(), requestTimeout);
        m_log.write("POST " + prefix + job.id + " at " + target->name + " -> " + (response ? std::to_string(response->status) : "no answer"));
        if (response && response->status == 200) {
            job.acceptedAt = m_log.now();
            return job;
        }
        sleepFor(retryDelay);
        if (++target == m_hosts.end()) {
            target = m_hosts.begin();
        }
    }
    return job;
}

std::string deployment::stateOf(const std::string &host, const requested_job &job)
{
    for (const entry_host &target : m_hosts) {
        const auto response = sendRequest(target.front, "GET", job.prefix + job.id, host, "", requestTimeout);
        if (response && response->status == 200) {
            const std::string state = nlohmann::json::parse(response->body).value("State", "");
            m_log.write("GET " + job.prefix + job.id + " at " + target.name + " -> " + state);
            return state;
        }
        if (response && response->status == 410) {
            m_log.write("GET " + job.prefix + job.id + " at " + target.name + " -> 410");
            return "gone";
        }
    }
    m_log.write("GET " + job.prefix + job.id + " -> no answer");
    return {};
}

run_register &deployment::runs()
{
    return m_runs;
}

std::vector<machine> deployment::machines()
{
    const std::lock_guard lock(m_mutex);
    std::vector<machine> list;
    for (const auto &[name, host] : m_machines) {
        list.push_back(host);
    }
    return list;
}

std::size_t deployment::runningTasksOf(const std::string &job)
{
    std::size_t count = 0;
    for (const machine &host : machines()) {
        count += host.runs ? host.runs->runningCountOf(job) : 0;
    }
    return count;
}

void deployment::end()
{
    if (m_hasEnded) {
        return;
    }
    m_hasEnded = true;
    for (entry_host &host : m_hosts) {
        if (host.process > 0) {
            ::kill(host.process, SIGKILL);
            ::waitpid(host.process, nullptr, 0);
            host.process = -1;
        }
    }
    m_log.write("all entry hosts have ended");
}

http_response deployment::answerCloud(const http_request &request)
{
    sleepFor(std::chrono::milliseconds(m_bounds.cloudMilliseconds) / 2);
    http_response response{404, "{}"};
    if (request.path == "/machines") {
        nlohmann::json list = nlohmann::json::array();
        for (const machine &host : machines()) {
            list.push_back({{"Machine", host.name},
                            {"Pool", host.pool},
                            {"State", host.state},
                            {"Zone", host.zone},
                            {"Labels", {host.kind, host.rack}},
                            {"Capacity", {{"Cpu", machineMillicores}, {"MemMb", machineMegabytes}, {"Gpus", 0}}},
                            {"Id", host.runs ? host.runs->id() : ""}});
        }
        response = {200, nlohmann::json{{"Machines", list}, {"NextToken", ""}}.dump()};
    } else if (request.path == "/machine-upkeep") {
        response = orderUpkeep(request);
    } else if (request.path == "/machine-move") {
        response = {409, nlohmann::json{{"Reason", "busy"}}.dump()};
    }
    sleepFor(std::chrono::milliseconds(m_bounds.cloudMilliseconds) / 2);
    return response;
}

http_response deployment::orderUpkeep(const http_request &request)
{
    const auto order = nlohmann::json::parse(request.body);
    const std::string name = order.at("Machine");
    const std::int64_t wave = order.at("Wave");
    const auto holder = request.headers.find("lease-holder");
    const auto fence = request.headers.find("fencing-token");
    std::string text = "upkeep " + name + " wave=" + std::to_string(wave) + " holder=" + (holder == request.headers.end() ? "" : holder->second)
        + " fence=" + (fence == request.headers.end() ? "" : fence->second);
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_machines.find(name);
        if (found == m_machines.end()) {
            return {400, "{}"};
        }
        machine &host = found->second;
        if (host.waves.contains(wave)) {
            m_log.write(text + " -> 200, already done");
            return {200, "{}"};
        }
        if (host.state != "up") {
            m_log.write(text + " -> 409 busy");
            return {409, nlohmann::json{{"Reason", "busy"}}.dump()};
        }
        host.waves.insert(wave);
        host.state = "upkeep";
        host.runs->kill();
        m_store.put("keyed.servers", host.runs->id(), "");
        m_retired.push_back(std::move(host.runs));
        host.runs.reset();
    }
    m_log.write(text + " -> 200, begins");
    std::thread([this, name] {
        sleepFor(std::chrono::milliseconds(m_bounds.maintenanceMilliseconds));
        const std::lock_guard lock(m_mutex);
        boot(m_machines[name]);
    }).detach();
    if (onUpkeep) {
        onUpkeep(name);
    }
    return {200, "{}"};
}

/** Writes the check-ins of the executors, and removes the entries of those that have been silent for three intervals. */
void deployment::registerExecutors()
{
    const auto interval = std::chrono::milliseconds(m_bounds.heartbeatMilliseconds);
    std::map<std::string, int> silent;
    std::map<std::string, time_point> next;
    std::map<std::string, int> lives;
    while (true) {
        for (const machine &host : machines()) {
            const bool isDue = host.runs && (clock::now() >= next[host.runs->id()] || lives[host.runs->id()] != host.runs->restarts());
            if (!isDue) {
                continue;
            }
            const std::string id = host.runs->id();
            const bool isNewLife = lives[id] != host.runs->restarts();
            lives[id] = host.runs->restarts();
            next[id] = clock::now() + interval;
            if (isNewLife) {
                continue; // its first check-in is one interval after its start
            }
            if (host.runs->isDead()) {
                if (++silent[id] == 3) {
                    m_store.put("keyed.servers", id, "");
                }
                continue;
            }
            m_store.put("keyed.servers", id,
                        nlohmann::json{{"Service", host.pool},
                                       {"Address", host.runs->address()},
                                       {"Zone", host.zone},
                                       {"Version", "1"},
                                       {"Slots", 8},
                                       {"State", "ready"},
                                       {"ColdRemainingMs", 0},
                                       {"Seq", ++m_sequence[id]},
                                       {"born", host.runs->born()},
                                       {"ClockMs", host.runs->clockMilliseconds()},
                                       {"Machine", host.name},
                                       {"Capacity", {{"Cpu", machineMillicores}, {"MemMb", machineMegabytes}, {"Gpus", 0}}},
                                       {"Labels", {host.kind, host.rack}}}
                            .dump());
        }
        sleepFor(std::chrono::milliseconds{20});
    }
}

} // namespace review
