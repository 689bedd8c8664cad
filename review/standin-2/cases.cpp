#include "cases.h"

#include <algorithm>
#include <thread>

namespace review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string urgentHost = "jepu9.example";
const std::string usualHost = "pule25.example";
const std::string urgentPrefix = "/bobo563/lo7/";
const std::string usualPrefix = "/tije37/";
constexpr int submitTimeout = 20'000;

/** `finish_s`: jobs are asked for this long after the end of the traffic. */
constexpr auto finishTime = seconds{14};

/** For this long nothing may run of a job whose turn has come, while there is capacity. */
constexpr std::int64_t idleLimit = 3'000;

nlohmann::json route(const std::string &name, const std::string &host, const std::string &prefix, const std::string &service, int priority)
{
    return {{"Name", name},           {"Host", host},         {"PathPrefix", prefix}, {"Kind", "non_idempotent"}, {"TimeoutMs", 3'000},
            {"TargetLatencyMs", 600}, {"Priority", priority}, {"Service", service},   {"MaxAttempts", 4},         {"Stretch", 1.6}};
}

nlohmann::json service(const std::string &name)
{
    return {{"Name", name}, {"AdmissionCheck", false}, {"Standby", false}};
}

nlohmann::json jobOf(const nlohmann::json &step)
{
    return {{"Spec", "carve"}, {"Steps", nlohmann::json::array({step})}};
}

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool areAllCompleted(deployment &world, const std::string &host, const std::vector<requested_job> &jobs)
{
    return std::all_of(jobs.begin(), jobs.end(), [&](const requested_job &job) { return world.stateOf(host, job) == "completed"; });
}

bool areAllAccepted(const std::vector<requested_job> &jobs)
{
    return std::all_of(jobs.begin(), jobs.end(), [](const requested_job &job) { return job.acceptedAt >= 0; });
}

/** Waits until all jobs are shown as completed. Returns false if that does not happen in time. */
bool awaitCompletion(deployment &world, const std::string &host, const std::vector<requested_job> &jobs, seconds time)
{
    const time_point deadline = clock::now() + time;
    while (clock::now() < deadline) {
        if (areAllCompleted(world, host, jobs)) {
            return true;
        }
        sleepFor(milliseconds{500});
    }
    return false;
}

/** Whether a job that is neither completed nor failed has nothing running for `idleLimit`, while less than a tenth of the machines has anything to do and
    the idle ones that may run it have room for it twice over. */
bool isLeftWaiting(deployment &world, const std::string &host, const requested_job &job, const std::string &kind)
{
    const time_point end = clock::now() + milliseconds{idleLimit};
    while (clock::now() < end) {
        std::size_t up = 0;
        std::size_t busy = 0;
        std::size_t idleOfKind = 0;
        for (const machine &each : world.machines()) {
            const bool isUp = each.state == "up" && each.runs && !each.runs->isDead();
            const bool isBusy = isUp && each.runs->runningCount() > 0;
            up += isUp ? 1 : 0;
            busy += isBusy ? 1 : 0;
            idleOfKind += isUp && !isBusy && each.kind == kind ? 1 : 0;
        }
        if (world.runningTasksOf(job.id) > 0 || busy * 10 > up || idleOfKind < 2) {
            return false;
        }
        sleepFor(milliseconds{50});
    }
    const std::string state = world.stateOf(host, job);
    return state == "queued" || state == "running";
}

} // namespace

outcome playGangWithoutRoom(deployment &world, bool isDisturbed)
{
    constexpr int gangSize = 32;
    constexpr int urgentJobs = 20;
    world.addMachines("lathehall", 8, 4);
    world.configure({route("wood-ledger", urgentHost, urgentPrefix, "lathehall", 0), route("lathe-path", usualHost, usualPrefix, "lathehall", 1)},
                    nlohmann::json::array({service("lathehall")}));
    if (!world.start()) {
        return outcome::not_run;
    }
    const nlohmann::json usual{{"Count", 2}, {"Cpu", 4'500}, {"MemMb", 4'000}, {"EstimateMs", 1'000}};
    std::vector<requested_job> before;
    for (int number = 0; number < 3; ++number) {
        before.push_back(world.submit(usualHost, usualPrefix, jobOf(usual), {1'000}, submitTimeout));
    }
    if (!areAllAccepted(before) || !awaitCompletion(world, usualHost, before, seconds{20})) {
        return outcome::not_run;
    }

    // One job in twenty of the urgent queue can never be done.
    std::vector<requested_job> urgent;
    for (int number = 0; number < urgentJobs; ++number) {
        const bool isHopeless = isDisturbed && number == urgentJobs / 2;
        const nlohmann::json gang{{"Count", gangSize}, {"Cpu", 4'200}, {"MemMb", 3'900}, {"EstimateMs", 2'000}, {"Gang", true}};
        const nlohmann::json small{{"Count", 1}, {"Cpu", 500}, {"MemMb", 500}, {"EstimateMs", 500}};
        const task_kind kind = isHopeless ? task_kind{2'000, gangSize} : task_kind{500};
        urgent.push_back(world.submit(urgentHost, urgentPrefix, jobOf(isHopeless ? gang : small), kind, submitTimeout));
        sleepFor(milliseconds{100});
    }
    if (!areAllAccepted(urgent)) {
        return outcome::not_run;
    }
    std::vector<requested_job> after;
    for (int number = 0; number < 5; ++number) {
        after.push_back(world.submit(usualHost, usualPrefix, jobOf(usual), {1'000}, submitTimeout));
    }
    if (!areAllAccepted(after)) {
        return outcome::not_run;
    }
    sleepFor(finishTime);
    const bool isBroken = std::any_of(after.begin(), after.end(), [&](const requested_job &job) { return isLeftWaiting(world, usualHost, job, "a"); });
    return isBroken ? outcome::broken : outcome::held;
}

outcome playGangCheckpoints(deployment &world, bool isDisturbed)
{
    constexpr int gangSize = 4;
    world.addMachines("lathehall", 8, 4);
    world.configure(nlohmann::json::array({route("lathe-path", usualHost, usualPrefix, "lathehall", 1)}), nlohmann::json::array({service("lathehall")}));
    if (!world.start()) {
        return outcome::not_run;
    }
    const std::string rack = "r-lathehall-a-0";
    const nlohmann::json step{{"Count", gangSize}, {"Cpu", 12'000},         {"MemMb", 4'000},  {"EstimateMs", 18'000},
                              {"Gang", true},      {"Checkpointing", true}, {"Affinity", rack}};
    const requested_job gang = world.submit(usualHost, usualPrefix, jobOf(step), {18'000, gangSize, false, true}, submitTimeout);
    if (gang.acceptedAt < 0) {
        return outcome::not_run;
    }
    sleepFor(milliseconds{7'500});
    if (world.runningTasksOf(gang.id) != gangSize) {
        return outcome::not_run;
    }
    if (isDisturbed) {
        world.killRack(rack, milliseconds{6'000});
    }
    const bool isCompleted = awaitCompletion(world, usualHost, {gang}, seconds{50});

    std::map<int, std::set<std::string>> checkpoints;
    for (const started_run &start : world.runs().starts()) {
        checkpoints[start.run].insert(start.checkpoint);
    }
    const bool isBroken = std::any_of(checkpoints.begin(), checkpoints.end(), [](const auto &entry) { return entry.second.size() > 1; });
    if (isBroken) {
        return outcome::broken;
    }
    return isCompleted ? outcome::held : outcome::not_run;
}

outcome playGangFailures(deployment &world, bool isDisturbed)
{
    constexpr int gangSize = 4;
    constexpr int maximumAttempts = 4;
    world.addMachines("lathehall", 8, 4);
    world.configure(nlohmann::json::array({route("lathe-path", usualHost, usualPrefix, "lathehall", 1)}), nlohmann::json::array({service("lathehall")}));
    if (!world.start()) {
        return outcome::not_run;
    }
    const nlohmann::json step{{"Count", gangSize}, {"Cpu", 3'000}, {"MemMb", 4'000}, {"EstimateMs", 2'000}, {"Gang", true}};
    const requested_job first = world.submit(usualHost, usualPrefix, jobOf(step), {2'000, gangSize}, submitTimeout);
    if (first.acceptedAt < 0 || !awaitCompletion(world, usualHost, {first}, seconds{20})) {
        return outcome::not_run;
    }

    // The executor that the last gang ran on.
    const std::string failing = world.runs().starts().back().executor;
    const auto setFailing = [&](bool isFailing) {
        for (const machine &each : world.machines()) {
            if (each.runs && each.runs->id() == failing) {
                each.runs->setFailing(isFailing);
            }
        }
    };
    setFailing(isDisturbed);
    const requested_job second = world.submit(usualHost, usualPrefix, jobOf(step), {2'000, gangSize}, submitTimeout);
    if (second.acceptedAt < 0) {
        return outcome::not_run;
    }
    sleepFor(milliseconds{6'500});
    setFailing(false);
    const time_point deadline = clock::now() + seconds{20};
    std::string state;
    while (clock::now() < deadline && state != "completed" && state != "failed") {
        state = world.stateOf(usualHost, second);
        sleepFor(milliseconds{500});
    }
    std::set<int> runs;
    for (const started_run &start : world.runs().starts()) {
        if (start.task.starts_with(second.id + '.')) {
            runs.insert(start.run);
        }
    }
    if (state == "failed" && static_cast<int>(runs.size()) < maximumAttempts) {
        return outcome::broken;
    }
    return state == "completed" ? outcome::held : outcome::not_run;
}

outcome playSecondWave(deployment &world, bool isDisturbed)
{
    const std::vector<std::string> due{"m-fitroom-b-0", "m-fitroom-b-1"};
    world.addMachines("fitroom", 6, 4, "a");
    world.addMachines("fitroom", 2, 4, "b");
    world.configure(nlohmann::json::array({route("pressure-map", usualHost, usualPrefix, "fitroom", 0)}), nlohmann::json::array({service("fitroom")}));
    if (!world.start()) {
        return outcome::not_run;
    }
    const nlohmann::json step{{"Count", 2}, {"Cpu", 1'000}, {"MemMb", 2'000}, {"EstimateMs", 1'000}, {"Requires", "b"}};
    sleepFor(seconds{4}); // a new leader orders no upkeep before
    for (const std::int64_t wave : {1, 2}) {
        world.requestWave(wave, due, 2, 26);
        const time_point deadline = clock::now() + seconds{30};
        while (world.waveState(wave) != "completed" && clock::now() < deadline) {
            sleepFor(milliseconds{100});
        }
        if (world.waveState(wave) != "completed") {
            return outcome::not_run;
        }
        sleepFor(seconds{4});
    }
    std::vector<requested_job> before{world.submit(usualHost, usualPrefix, jobOf(step), {1'000}, submitTimeout)};
    if (!areAllAccepted(before) || !awaitCompletion(world, usualHost, before, seconds{20})) {
        return outcome::not_run;
    }
    if (isDisturbed) {
        entry_host *leader = world.leader();
        if (leader == nullptr) {
            return outcome::not_run;
        }
        world.restartInOrder(*leader);
    }
    sleepFor(seconds{6});
    std::vector<requested_job> after;
    for (int number = 0; number < 3; ++number) {
        after.push_back(world.submit(usualHost, usualPrefix, jobOf(step), {1'000}, submitTimeout));
    }
    if (!areAllAccepted(after)) {
        return outcome::not_run;
    }
    sleepFor(finishTime);
    const bool isBroken = std::any_of(after.begin(), after.end(), [&](const requested_job &job) { return isLeftWaiting(world, usualHost, job, "b"); });
    return isBroken ? outcome::broken : outcome::held;
}

outcome playForgottenEnd(deployment &world, bool isDisturbed)
{
    constexpr int firstTasks = 1;
    world.addMachines("lathehall", 8, 4);
    world.configure(nlohmann::json::array({route("lathe-path", usualHost, usualPrefix, "lathehall", 1)}), nlohmann::json::array({service("lathehall")}));
    if (!world.start()) {
        return outcome::not_run;
    }
    std::vector<requested_job> jobs;
    const nlohmann::json first{{"Count", firstTasks}, {"Cpu", 2'000}, {"MemMb", 2'000}, {"EstimateMs", 600}};
    jobs.push_back(world.submit(usualHost, usualPrefix, jobOf(first), {600}, submitTimeout));
    sleepFor(milliseconds{200});
    std::shared_ptr<executor> chosen;
    for (const machine &each : world.machines()) {
        if (each.runs->runningCount() == firstTasks) {
            chosen = each.runs;
        }
    }
    if (!chosen) {
        return outcome::not_run;
    }
    if (isDisturbed) {
        chosen->crashWhenTold(firstTasks, milliseconds{100});
        const time_point deadline = clock::now() + seconds{10};
        while (chosen->restarts() == 0 && clock::now() < deadline) {
            sleepFor(milliseconds{5});
        }
    } else {
        sleepFor(seconds{1});
    }
    const nlohmann::json next{{"Count", 1}, {"Cpu", 2'000}, {"MemMb", 2'000}, {"EstimateMs", 100}};
    jobs.push_back(world.submit(usualHost, usualPrefix, jobOf(next), {100}, submitTimeout));
    sleepFor(seconds{20});
    if (!areAllAccepted(jobs) || !areAllCompleted(world, usualHost, jobs)) {
        return outcome::not_run;
    }

    // Whether a task was started again after a run that has ended `done`, of which the system has taken note.
    std::map<std::string, int> starts;
    for (const started_run &start : world.runs().starts()) {
        ++starts[start.task];
    }
    const std::set<std::string> noted = world.runs().notedAsDone();
    const bool isBroken = std::any_of(starts.begin(), starts.end(), [&](const auto &entry) {
        return entry.second > 1 && entry.first.starts_with(jobs.back().id) && noted.contains(entry.first);
    });
    return isBroken ? outcome::broken : outcome::held;
}

} // namespace review
