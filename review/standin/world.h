#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <event2/event.h>
#include <event2/http.h>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

/** Stand-ins for what surrounds the entry hosts: the platform's store and list of machines, executors, a requester, and the supervisor that starts
    the entry hosts. All of them live in one process; the entry hosts are processes of their own. */
namespace review {

using json = nlohmann::json;

/** Event loop, timers, clock and record.txt. */
class world
{
public:
    explicit world(const std::string &recordPath);
    ~world();
    world(const world &) = delete;
    world &operator=(const world &) = delete;

    event_base *base() const;
    std::int64_t now() const; /**< Milliseconds since the start of the script, on the steady clock. */
    void after(std::int64_t milliseconds, std::function<void()> callback);
    void record(const std::string &line);
    void run();
    void stop();

private:
    event_base *m_base;
    std::int64_t m_startedAt;
    std::ofstream m_record;
};

/** An HTTP server at a loopback address. Requests may be answered later. */
class server
{
public:
    using handler = std::function<void(evhttp_request *)>;

    server(world &owner, std::string address, std::uint16_t port, handler handle);
    ~server();
    server(const server &) = delete;
    server &operator=(const server &) = delete;

    bool listen();
    void close(); /**< Closes the listener and all connections, as the end of a process does. */
    std::string address() const;

    static void reply(evhttp_request *request, int status, const std::string &body, const char *type = "application/json");
    static std::string bodyOf(evhttp_request *request);
    static std::string queryValue(evhttp_request *request, const char *key);
    static std::string pathOf(evhttp_request *request);

private:
    world &m_world;
    std::string m_address;
    std::uint16_t m_port;
    handler m_handler;
    evhttp *m_server = nullptr;
};

/** The platform's store: topics with one partition, conditional appends, reads that wait. */
class store
{
public:
    store(world &owner, const std::string &address, std::uint16_t port);
    bool listen();
    void put(const std::string &topic, const std::string &key, const std::string &value); /**< A write by an operator or an executor. */

    std::set<std::string> downTopics; /**< Answered with 503: the store is partly down. */

private:
    struct topic_log
    {
        std::vector<std::string> records; /**< Key length, key and value. */
    };
    struct waiting_read
    {
        evhttp_request *request;
        std::string topic;
        std::uint64_t from;
    };

    void handle(evhttp_request *request);
    void append(evhttp_request *request, const std::string &topic);
    void newest(evhttp_request *request, const std::string &topic);
    void answerRead(evhttp_request *request, const std::string &topic, std::uint64_t from);
    void wakeReads(const std::string &topic);

    world &m_world;
    server m_server;
    std::map<std::string, topic_log> m_topics;
    std::list<waiting_read> m_waiting;
};

/** What the executors have seen, checked against the rule TWICE. */
class run_journal
{
public:
    struct run_end
    {
        std::string task;
        bool isDone = false;
        bool isNoted = false; /**< LastSeen has reached it. */
        bool hasLapsedBefore = false; /**< The lease lapsed before LastSeen reached it. */
    };

    explicit run_journal(world &owner);
    void started(const std::string &task, int run, const std::string &executor);
    std::shared_ptr<run_end> ended(const std::string &task, int run, const std::string &executor, const std::string &how);
    void lostWithExecutor(const std::string &task, int run, const std::string &executor);
    int countTwice(bool print, const std::string &job = {}); /**< Of one job, or of all if it is empty. */
    std::size_t startCount() const;
    int failedEnds(const std::string &job) const; /**< Runs of the job's tasks that have ended failed. */

private:
    struct suspicion
    {
        std::string text;
        std::shared_ptr<run_end> end; /**< Counts only when this end is taken note of; null if it counts in any case. */
    };

    world &m_world;
    std::size_t m_starts = 0;
    std::map<std::string, int> m_failedEnds; /**< For each job. */
    std::map<std::string, std::set<std::string>> m_running;
    std::map<std::string, std::vector<std::shared_ptr<run_end>>> m_doneEnds;
    std::vector<suspicion> m_suspicions;
};

/** An executor. The Spec of a job is "ms=N", or "ms=N fail-first" for tasks whose first run fails. */
class executor
{
public:
    struct settings
    {
        std::string id;
        std::string service;
        std::string address;
        std::uint16_t port = 0;
        std::int64_t maximumHold = 6000;
        std::int64_t heartbeat = 1500;
        std::int64_t stopTime = 200; /**< How long a stop takes. */
    };

    executor(world &owner, store &registry, run_journal &journal, settings values);
    bool start(); /**< Starts a new life under the same id. */
    void crash();
    void setCut(bool isCut); /**< While cut off it runs on, but receives and sends nothing; what was sent to it is lost. */
    std::int64_t leaseLeft() const; /**< In milliseconds. */
    const settings &values() const;

private:
    struct running_task
    {
        int run = 0;
        std::int64_t startedAt = 0;
        std::int64_t duration = 0;
        bool isStopping = false;
    };
    struct finished_task
    {
        std::int64_t number;
        std::string task;
        int run;
        std::string how;
        std::shared_ptr<run_journal::run_end> end;
    };
    struct waiting_hold
    {
        evhttp_request *request;
        std::uint64_t id;
    };

    std::int64_t clock() const;
    void heartbeat(std::uint64_t life);
    void handle(evhttp_request *request);
    void handleStart(evhttp_request *request, const json &body);
    void handleStop(evhttp_request *request, const json &body);
    void handleHold(evhttp_request *request, const json &body);
    void answer(evhttp_request *request, int status, json body);
    void answerHold(evhttp_request *request);
    void finish(const std::string &task, int run, const std::string &how);
    void extendLease(const json &body);
    void checkLease(std::uint64_t life);

    world &m_world;
    store &m_registry;
    run_journal &m_journal;
    settings m_settings;
    server m_server;
    std::uint64_t m_life = 0;
    bool m_isCut = false;
    std::int64_t m_born = 0;
    std::int64_t m_startedAt = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::int64_t m_nextNumber = 1;
    std::uint64_t m_nextHold = 1;
    std::map<std::string, running_task> m_running;
    std::map<std::string, int> m_refusedUpTo; /**< Runs of a task up to this one are rejected. */
    std::vector<finished_task> m_finished;
    std::list<waiting_hold> m_holds;
};

/** Starts and ends the entry hosts with the command of the deploy file. */
class entry_hosts
{
public:
    entry_hosts(world &owner, std::string folder, std::string network, int count);
    ~entry_hosts();
    entry_hosts(const entry_hosts &) = delete;
    entry_hosts &operator=(const entry_hosts &) = delete;

    void start(int number);
    void kill(int number, int signal);
    void killAll(int signal);
    int count() const;
    std::string callerAddress(int number) const;
    std::string readyAddress(int number) const;

private:
    world &m_world;
    std::string m_folder;
    std::string m_network;
    std::vector<pid_t> m_processes;
};

/** A small deployment: a store, a list of machines, executors of one service, and entry hosts. */
class deployment
{
public:
    struct settings
    {
        std::string folder; /**< For settings and logs of the entry hosts. */
        std::string record;
        int hosts = 6;
        int executors = 8;
    };

    explicit deployment(const settings &values);
    bool start(); /**< Writes the configuration and starts everything. */
    void whenReady(std::function<void()> ready);
    void submit(int number, const std::string &spec, std::int64_t estimate);
    void query(int number, std::function<void(int, const std::string &)> done);

    static constexpr int maximumAttempts = 3;

    static std::string jobId(int number);
    static bool hasTrouble(); /**< False if the variable TROUBLE is 0. */

    world environment;
    std::string network;
    store platformStore;
    server machines;
    run_journal journal;
    std::vector<std::unique_ptr<executor>> executors;
    entry_hosts hosts;
    std::map<int, int> submissionStatus;
    bool isReady = false;

private:
    void listMachines(evhttp_request *request);
};

/** Sends one request and calls back with the status, 0 when there was no response, and the body. */
void sendRequest(world &owner, const std::string &address, const std::string &method, const std::string &path, const std::string &host, const std::string &body,
                 std::function<void(int, const std::string &)> done);

} // namespace review
