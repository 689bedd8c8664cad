#include "world.h"

#include <csignal>
#include <iostream>

/** Case "stale lease": an idle executor starts again under the id that it had, gets a short job, then a long one, and is cut off from everything.
    Only the long job is judged. */
namespace {

using namespace review;

constexpr int maximumRestarts = 10;
constexpr std::int64_t restartInterval = 5000; // milliseconds
constexpr std::int64_t downTime = 150; // milliseconds
constexpr std::int64_t shortJobDelay = 20; // milliseconds after the restart
constexpr std::int64_t leaseCheckDelay = 600; // milliseconds after the restart
constexpr std::int64_t ordinaryLease = 4000; // milliseconds; the entry hosts grant 3 s
constexpr std::int64_t longJobDelay = 1000; // milliseconds after the restart
constexpr std::int64_t cutDelay = 1300; // milliseconds after the restart
constexpr std::int64_t cutTime = 5500; // milliseconds
constexpr std::int64_t endDelay = 16000; // milliseconds after the restart
constexpr int longJob = 100;

struct scenario
{
    deployment &system;

    /** Restarts the executor, at most maximumRestarts times, until an order that was meant for its former life has reached it. */
    void play(int attempt)
    {
        executor &first = *system.executors.front();
        if (deployment::hasTrouble()) {
            first.crash();
        }
        system.environment.after(downTime, [this, &first, attempt] { afterRestart(first, attempt); });
    }

    void afterRestart(executor &first, int attempt)
    {
        if (deployment::hasTrouble()) {
            first.start();
        }
        system.environment.after(shortJobDelay, [this, attempt] { system.submit(attempt, "ms=100", 100); });
        system.environment.after(leaseCheckDelay, [this, &first, attempt] {
            const bool mayContinue = !deployment::hasTrouble() || first.leaseLeft() > ordinaryLease || attempt + 1 == maximumRestarts;
            system.environment.record("executor: lease of " + std::to_string(first.leaseLeft()) + " ms left");
            if (mayContinue) {
                cutOff(first);
            } else {
                system.environment.after(restartInterval, [this, attempt] { play(attempt + 1); });
            }
        });
    }

    void cutOff(executor &first)
    {
        system.environment.after(longJobDelay - leaseCheckDelay, [this] { system.submit(longJob, "ms=8000", 8000); });
        if (deployment::hasTrouble()) {
            system.environment.after(cutDelay - leaseCheckDelay, [&first] { first.setCut(true); });
            system.environment.after(cutDelay + cutTime - leaseCheckDelay, [&first] { first.setCut(false); });
        }
        system.environment.after(endDelay, [this] { system.environment.stop(); });
    }
};

} // namespace

int main(int argc, char *argv[])
{
    if (argc != 3) {
        std::cerr << "usage: stale_lease FOLDER RECORD\n";
        return 2;
    }
    deployment system({argv[1], argv[2]});
    if (!system.start()) {
        std::cerr << "an address is in use\n";
        return 2;
    }
    scenario played{system};
    system.whenReady([&] { played.play(0); });
    constexpr std::int64_t timeLimit = 110000;
    system.environment.after(timeLimit, [&] { system.environment.stop(); });
    system.environment.run();
    system.hosts.killAll(SIGKILL);

    const int accepted = system.submissionStatus[longJob] == 200 ? 1 : 0;
    const int twice = system.journal.countTwice(true, deployment::jobId(longJob));
    system.environment.record("result: " + std::to_string(accepted) + " long job accepted, " + std::to_string(twice) + " times TWICE");
    if (!system.isReady || accepted == 0) {
        return 2;
    }
    return twice > 0 ? 1 : 0;
}
