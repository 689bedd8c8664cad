#pragma once

#include "control_fakes.h"
#include "loop_fixture.h"
#include "partitioned_store.h"

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

namespace parsleyglade {

/** Control planes of as many entry hosts as the largest known deployment has, in one process, on a journal with thousands of jobs. */
class large_deployment
{
public:
    static constexpr int hostCount = 147;
    static constexpr std::size_t jobCount = 6000;
    static constexpr std::size_t unfinishedJobCount = 300;
    static constexpr std::size_t journalRecords = 2 * jobCount;

    large_deployment()
    {
        platform.store.put(store_topic::operators, {{"configuration", "1"}});
        putJobs();
        for (int number = 0; number < hostCount; ++number) {
            hosts.push_back(makeHost(number));
        }
    }

    /** Starts one entry host, waits until it leads, and starts the others. Returns whether all follow it, and the named successors may have loaded the journal.
     */
    bool start()
    {
        using namespace std::chrono_literals;
        constexpr std::size_t copies = 2;
        if (!startHost(0)) {
            return false;
        }
        runUntil(loop, 10s, [this] { return leader() == hosts.front().get(); });
        const std::size_t delivered = platform.store.deliveredPageRecords;
        for (std::size_t number = 1; number < hosts.size(); ++number) {
            if (!startHost(number)) {
                return false;
            }
        }
        runUntil(loop, 20s, [this] { return isConnected(); });
        runUntil(loop, 3s, [&] { return platform.store.deliveredPageRecords >= delivered + copies * journalRecords; });
        runUntil(loop, 500ms, [] { return false; });
        return isConnected() && leader() == hosts.front().get();
    }

    /** One entry host. */
    struct host
    {
        host(event_loop &loop, control_platform &platform, control_settings settings, const peer_settings &peers)
            : store(loop, platform.store)
            , address(settings.peerAddress)
            , processorShare(settings.processorShare)
            , daemon(std::make_unique<control_daemon>(loop, platform_clients{store, platform.executors, platform.hosts, platform.decoder}, settings, peers))
        {
        }

        bool isLeading() const
        {
            return daemon && daemon->leadership().leader() != nullptr;
        }

        partitioned_store store;
        std::string address;
        double processorShare = 0;
        std::unique_ptr<control_daemon> daemon; /**< Null once killed. */
    };

    /** The first entry host that leads, other than the given one; null if there is none. */
    host *leader(const host *other = nullptr)
    {
        const auto found = std::find_if(hosts.begin(), hosts.end(), [&](const auto &entry) { return entry.get() != other && entry->isLeading(); });
        return found == hosts.end() ? nullptr : found->get();
    }

    event_loop loop;
    control_platform platform{loop};
    std::vector<std::unique_ptr<host>> hosts;

private:
    bool isConnected() const
    {
        return std::all_of(hosts.begin(), hosts.end(), [](const auto &entry) { return entry->daemon->leadership().isConnected() && entry->daemon->isReady(); });
    }

    /** A free port that no other entry host has: nothing listens yet, so the system may return the same port again. */
    std::uint16_t unusedPort()
    {
        std::uint16_t port = freePort();
        while (!m_ports.insert(port).second) {
            port = freePort();
        }
        return port;
    }

    /** Starts an entry host, with another port if a process beside this one has taken the port since it was found free. */
    bool startHost(std::size_t number)
    {
        constexpr int maximumAttempts = 5;
        for (int attempt = 0; attempt < maximumAttempts; ++attempt) {
            if (hosts[number]->daemon->start()) {
                return true;
            }
            hosts[number] = makeHost(static_cast<int>(number));
        }
        return false;
    }

    std::unique_ptr<host> makeHost(int number)
    {
        using namespace std::chrono_literals;
        constexpr int dataCentreCount = 3;
        constexpr double smallShare = 0.1;
        control_settings settings = controlSettings(number, unusedPort());
        settings.processorShare = number % 2 == 0 ? 1.0 : smallShare;
        peer_settings peers = peerSettings(settings);
        peers.dataCentre = "dc" + std::to_string(number % dataCentreCount);
        peers.maximumSessions = 256;
        peers.silenceTimeout = 1500ms;
        return std::make_unique<host>(loop, platform, settings, peers);
    }

    /** Puts jobs of one task, of which the first are not finished and have a run each. */
    void putJobs()
    {
        constexpr std::size_t batchSize = 500;
        wire::batch_record header;
        header.writer = hostCount + 1;
        header.resigned = true;
        std::vector<journal_entry> entries;
        for (std::size_t number = 0; number < jobCount; ++number) {
            const std::string job = "job" + std::to_string(number);
            wire::progress_record progress;
            progress.state = static_cast<std::int32_t>(number < unfinishedJobCount ? work_state::queued : work_state::completed);
            wire::task_record task;
            task.lastRun = 1;
            task.done = number >= unfinishedJobCount;
            progress.tasks.push_back(task);
            entries.push_back({scheduler::workKey(job), encode(makeSubmission(job).work)});
            entries.push_back({scheduler::progressKey(job), encode(progress)});
            if (entries.size() >= batchSize || number + 1 == jobCount) {
                entries.insert(entries.begin(), {journal_writer::batchKey, encode(header)});
                platform.store.put(store_topic::journal, std::exchange(entries, {}));
            }
        }
    }

    std::set<std::uint16_t> m_ports;
};

} // namespace parsleyglade
