#include "world.h"

#include <csignal>
#include <iostream>

/** Case "reborn": an idle executor starts again under the id that it had, and a job is submitted right after. Once in each round. */
namespace {

using namespace review;

constexpr int roundCount = 10;
constexpr std::int64_t roundInterval = 6000; // milliseconds
constexpr std::int64_t downTime = 150; // milliseconds
constexpr std::int64_t submitDelay = 20; // milliseconds after the restart
constexpr std::int64_t queryDelay = 2000; // milliseconds after the submission

struct scenario
{
    deployment &system;
    int completed = 0;

    void play(int round)
    {
        if (round == roundCount) {
            system.environment.stop();
            return;
        }
        executor &first = *system.executors.front();
        if (deployment::hasTrouble()) {
            first.crash();
        }
        system.environment.after(downTime, [this, &first, round] {
            if (deployment::hasTrouble()) {
                first.start();
            }
            system.environment.after(submitDelay, [this, round] { system.submit(round, "ms=300", 300); });
        });
        system.environment.after(downTime + submitDelay + queryDelay,
                                 [this, round] { system.query(round, [this](int, const std::string &state) { completed += state == "completed" ? 1 : 0; }); });
        system.environment.after(roundInterval, [this, round] { play(round + 1); });
    }
};

} // namespace

int main(int argc, char *argv[])
{
    if (argc != 3) {
        std::cerr << "usage: reborn FOLDER RECORD\n";
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

    const int twice = system.journal.countTwice(true);
    system.environment.record("result: " + std::to_string(system.submissionStatus.size()) + " jobs of one task submitted, " + std::to_string(played.completed)
                              + " shown as completed, " + std::to_string(system.journal.startCount()) + " starts, " + std::to_string(twice) + " times TWICE");
    if (!system.isReady || played.completed == 0) {
        return 2;
    }
    return twice > 0 ? 1 : 0;
}
