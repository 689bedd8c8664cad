#include "world.h"

#include <csignal>
#include <iostream>

/** Case "unconfigured": all entry hosts are killed and start again while the part of the store that holds the configuration is down. */
namespace {

using namespace review;

constexpr int jobCount = 5;
constexpr std::int64_t killDelay = 300; // milliseconds after the jobs were submitted
constexpr std::int64_t downTime = 700; // milliseconds until the entry hosts start again
constexpr std::int64_t outage = 4500; // milliseconds
constexpr std::int64_t queryDelay = 20000; // milliseconds after the kill
constexpr std::int64_t queryInterval = 1000; // milliseconds
constexpr int queryAttempts = 14; // the rule gives 14 s to answer

struct scenario
{
    deployment &system;
    std::map<int, std::string> states;

    void play()
    {
        for (int number = 0; number < jobCount; ++number) {
            system.submit(number, "ms=1500 fail-first", 1500);
        }
        system.environment.after(killDelay, [this] { killAll(); });
        system.environment.after(killDelay + queryDelay, [this] {
            for (int number = 0; number < jobCount; ++number) {
                query(number, queryAttempts);
            }
        });
        system.environment.after(killDelay + queryDelay + queryInterval * (queryAttempts + 1), [this] { system.environment.stop(); });
    }

    void killAll()
    {
        if (!deployment::hasTrouble()) {
            return;
        }
        system.hosts.killAll(SIGKILL);
        system.platformStore.downTopics.insert("keyed.op");
        system.environment.record("store: partition 0 of keyed.op is down");
        system.environment.after(downTime, [this] {
            for (int number = 0; number < system.hosts.count(); ++number) {
                system.hosts.start(number);
            }
        });
        system.environment.after(outage, [this] {
            system.platformStore.downTopics.clear();
            system.environment.record("store: all partitions are up");
        });
    }

    void query(int number, int attempts)
    {
        system.query(number, [this, number, attempts](int status, const std::string &state) {
            states[number] = state;
            const bool isFinal = status == 200 && (state == "completed" || state == "failed");
            if (!isFinal && attempts > 1) {
                system.environment.after(queryInterval, [this, number, attempts] { query(number, attempts - 1); });
            }
        });
    }
};

} // namespace

int main(int argc, char *argv[])
{
    if (argc != 3) {
        std::cerr << "usage: unconfigured FOLDER RECORD\n";
        return 2;
    }
    deployment system({argv[1], argv[2]});
    if (!system.start()) {
        std::cerr << "an address is in use\n";
        return 2;
    }
    scenario played{system, {}};
    system.whenReady([&] { played.play(); });
    constexpr std::int64_t timeLimit = 110000;
    system.environment.after(timeLimit, [&] { system.environment.stop(); });
    system.environment.run();
    system.hosts.killAll(SIGKILL);

    int lost = 0;
    int accepted = 0;
    for (const auto &[number, status] : system.submissionStatus) {
        accepted += status == 200 ? 1 : 0;
        const int failedEnds = system.journal.failedEnds(deployment::jobId(number));
        if (status == 200 && played.states[number] == "failed" && failedEnds < deployment::maximumAttempts) {
            ++lost;
            system.environment.record("LOST: " + deployment::jobId(number) + " is shown as failed after " + std::to_string(failedEnds) + " of "
                                      + std::to_string(deployment::maximumAttempts) + " attempts");
        }
    }
    system.environment.record("result: " + std::to_string(accepted) + " jobs accepted, " + std::to_string(lost) + " shown as failed without cause");
    if (!system.isReady || accepted == 0) {
        return 2;
    }
    return lost > 0 ? 1 : 0;
}
