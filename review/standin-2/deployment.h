#pragma once

#include "executor.h"
#include "http.h"
#include "platform_log.h"
#include "record.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/** A machine of the platform, and the executor that runs on it. */
struct machine
{
    std::string name;
    std::string pool;
    std::string zone;
    std::string rack;
    std::string kind;
    std::string state = "up"; /**< up, upkeep or down. */
    std::shared_ptr<executor> runs; /**< Its executor; none while it is not up. */
    std::set<std::int64_t> waves; /**< Waves whose upkeep it has begun. */
};

/** A process of the system under test. */
struct entry_host
{
    std::string name;
    std::string zone;
    std::string front;
    std::string ready;
    std::string peer;
    std::string settingsPath;
    pid_t process = -1;
};

/** What a requester knows of one of its jobs. */
struct requested_job
{
    std::string id;
    std::string prefix;
    std::int64_t acceptedAt = -1; /**< When the 2xx response arrived; negative before. */
};

/** Figures of a deployment. */
struct deployment_bounds
{
    int entryHosts = 3;
    int heartbeatMilliseconds = 1'500;
    int maintenanceMilliseconds = 2'000;
    int cloudMilliseconds = 4; /**< Time that a call to the machines takes. */
    executor_bounds executors;
};

/**
 * A small deployment on loopback: the platform's store and list of machines, executors, an operator and a requester in this process, and the entry hosts
 * as processes of their own, started with the command of the deploy file. What it started ends with end().
 */
class deployment
{
public:
    deployment(record &log, std::string folder, deployment_bounds bounds);
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    // ---- before the start ----

    void addMachines(const std::string &pool, int count, int perRack, const std::string &kind = "a");

    /** Writes the operator's configuration. */
    void configure(const nlohmann::json &routes, const nlohmann::json &services);

    /** Starts the entry hosts. Returns false if none is ready in time. */
    bool start();

    // ---- disturbances ----

    /** All executors of a rack crash without a word. Their machines are down for the time given, and then have new executors. */
    void killRack(const std::string &rack, std::chrono::milliseconds time);

    /** Called when the platform has carried out an upkeep, before it answers. */
    std::function<void(const std::string &machine)> onUpkeep;

    void signalHost(entry_host &host, int signal);
    void startHost(entry_host &host);

    /** Sends SIGTERM, SIGKILL after the grace period, and starts the process again. */
    void restartInOrder(entry_host &host);
    std::list<entry_host> &hosts();

    /** Returns the entry host that leads, by the newest announcement of its journal's writer; none if it can't be told. */
    entry_host *leader();

    // ---- operator and requester ----

    void requestWave(std::int64_t wave, const std::vector<std::string> &machines, int cap, int withinSeconds);
    std::string waveState(std::int64_t wave);

    /** Submits a job and repeats it at other entry hosts, as requesters do, until it is accepted or the time is over. */
    requested_job submit(const std::string &host, const std::string &prefix, const nlohmann::json &body, const task_kind &kind, int timeoutMilliseconds);

    /** Returns the state that an entry host shows; empty if none answers in time. "gone" stands for 410. */
    std::string stateOf(const std::string &host, const requested_job &job);

    // ---- judging ----

    run_register &runs();
    std::vector<machine> machines();
    std::size_t runningTasksOf(const std::string &job);

    void end();

private:
    http_response answerCloud(const http_request &request);
    http_response orderUpkeep(const http_request &request);
    void boot(machine &host);
    void registerExecutors();
    std::string fillTemplate(const entry_host &host, int peerPort, int metricsPort) const;

    record &m_log;
    std::string m_folder;
    deployment_bounds m_bounds;
    run_register m_runs;
    platform_log m_store;
    std::mutex m_mutex;
    std::map<std::string, machine> m_machines;
    std::vector<std::shared_ptr<executor>> m_retired; /**< Executors that have ended; their servers stay until the process ends. */
    std::map<std::string, std::int64_t> m_sequence;
    int m_nextExecutor = 0;
    int m_nextJob = 0;
    bool m_hasEnded = false;
    http_server m_cloud;
    std::list<entry_host> m_hosts;
};

} // namespace review
