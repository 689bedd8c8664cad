#pragma once

#include "control/control.h"
#include "memory_store.h"

#include <sstream>

namespace parsleyglade {

/** Executors that never respond. */
class unresponsive_executors final : public executor_client
{
public:
    void start(const start_order &, std::function<void(order_response)>) override
    {
    }

    void stop(const stop_order &, std::function<void(order_response)>) override
    {
    }

    void pace(const pace_order &, std::function<void(order_response)>) override
    {
    }

    void poll(const poll_order &, std::function<void(poll_response)>) override
    {
    }
};

/** A host service that never responds. */
class unresponsive_host_client final : public host_client
{
public:
    void list(std::function<void(const outcome<std::vector<host_description>> &)>) override
    {
    }

    void order(const host_order &, const std::string &, std::function<void(host_order_result)>) override
    {
    }
};

/** Decodes a record with a version number, and pairs of a team and its key as in "2 red=secret", into a configuration of that version with one queue and
    these teams. */
class version_decoder final : public record_decoder
{
public:
    bool isConfiguration(const std::string &key) const override
    {
        return key == "configuration";
    }

    bool isWave(const std::string &) const override
    {
        return false;
    }

    outcome<queue_configuration> decodeConfiguration(const std::string &value) const override
    {
        queue_configuration configuration;
        configuration.version = std::stoll(value);
        configuration.queues.emplace_back();
        configuration.queues.back().name = "queue";
        std::istringstream words(value);
        std::string word;
        for (words >> word; words >> word;) {
            const std::size_t separator = word.find('=');
            team_policy team;
            team.name = word.substr(0, separator);
            team.keyDigests.push_back(digestOfKey(word.substr(separator + 1)));
            configuration.teams.push_back(team);
        }
        configuration.hasTeams = !configuration.teams.empty();
        configuration.keys = key_directory(configuration.teams);
        return configuration;
    }

    outcome<wave_request> decodeWave(const std::string &) const override
    {
        return failure{};
    }

    journal_entry encodeWaveStatus(std::int64_t, bool) const override
    {
        return {};
    }

    outcome<executor_description> decodeExecutor(const std::string &, const std::string &) const override
    {
        return failure{};
    }
};

/** The platform that the control planes of several entry hosts share. */
struct control_platform
{
    explicit control_platform(timer_service &timers)
        : store(timers)
    {
    }

    platform_clients clients()
    {
        return {store, executors, hosts, decoder};
    }

    memory_store store;
    unresponsive_executors executors;
    unresponsive_host_client hosts;
    version_decoder decoder;
};

/** Settings of an entry host that listens at the given loopback port. */
inline control_settings controlSettings(int number, std::uint16_t port)
{
    control_settings settings;
    settings.entryHost = "host" + std::to_string(number);
    settings.incarnation = incarnation_id{number + 1};
    settings.peerAddress = "127.0.0.1:" + std::to_string(port);
    return settings;
}

/** Settings of the sessions between entry hosts, with a key common to all. */
inline peer_settings peerSettings(const control_settings &control)
{
    peer_settings settings;
    settings.entryHost = control.entryHost;
    settings.incarnation = control.incarnation;
    settings.sharedKey = "key";
    return settings;
}

/** A call that submits a job with one task. */
inline wire::work_call makeSubmission(const std::string &job)
{
    wire::work_call call;
    call.kind = wire::work_call_kind::submit;
    call.queue = "queue";
    call.job = job;
    wire::work_record work;
    work.queue = "queue";
    work.steps.emplace_back();
    work.steps.back().taskCount = 1;
    call.__set_work(work);
    return call;
}

} // namespace parsleyglade
