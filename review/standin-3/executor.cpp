#include "standin.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <set>
#include <vector>

/** An executor. A task runs for as long as the text "work=MILLISECONDS" in its Spec says, and up to "spread=MILLISECONDS" longer. */
namespace standin {

namespace {

constexpr std::int64_t checkInInterval = 1'500;
constexpr std::int64_t progressInterval = 20;
constexpr std::int64_t checkpointInterval = 1'000;
constexpr std::size_t maximumListedEnds = 500;

struct task_run
{
    std::int64_t number = 0;
    std::int64_t startedAt = 0;
    std::int64_t work = 0;
    std::int64_t saved = 0; // work done before this run, in milliseconds
    std::int64_t millicores = 0;
};

struct task_end
{
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
    std::string saved;
};

struct waiting_poll
{
    request handle;
    std::int64_t until = 0;
};

class executor
{
public:
    explicit executor(const std::map<std::string, std::string> &options)
        : m_options(options)
        , m_id(options.at("id"))
        , m_startedAt(steadyNow())
        , m_born(wallNow() + number("clock-offset-ms", 0))
        , m_maximumHold(number("maximum-hold-ms", 10'000))
    {
    }

    void start()
    {
        record("executor " + m_id + " up born=" + std::to_string(m_born) + " cpu=" + std::to_string(number("cpu", 0)));
        serve(m_options.at("address"), [this](const request &handle) { handleRequest(handle); });
        after(number("first-check-in-ms", 0), [this] { checkIn(); });
        advance();
    }

private:
    std::int64_t number(const std::string &name, std::int64_t otherwise) const
    {
        const auto found = m_options.find(name);
        return found == m_options.end() ? otherwise : std::stoll(found->second);
    }

    std::int64_t clock() const
    {
        return steadyNow() - m_startedAt + 1;
    }

    void checkIn()
    {
        const std::string label = m_options.contains("label") ? m_options.at("label") : "a";
        const json entry{{"Machine", "m-" + m_id},
                         {"Service", m_options.at("service")},
                         {"Address", m_options.contains("registered") ? m_options.at("registered") : m_options.at("address")},
                         {"Zone", m_options.at("zone")},
                         {"Version", "v1"},
                         {"Slots", 8},
                         {"State", "ready"},
                         {"ColdRemainingMs", 0},
                         {"Capacity", {{"Cpu", number("cpu", 0)}, {"MemMb", number("mem", 65'536)}, {"Gpus", 0}}},
                         {"Labels", {label, m_options.at("rack")}},
                         {"ClockMs", clock()},
                         {"Seq", ++m_sequence},
                         {"born", m_born}};
        outgoing message;
        message.address = m_options.at("store");
        message.target = "/log-append?Topic=keyed.servers&part=0";
        message.headers = {{"Standin-Writer", "executor"}};
        message.body = frameRecord(m_id, entry.dump());
        send(message, [](int, const std::string &) {});
        after(checkInInterval, [this] { checkIn(); });
    }

    std::int64_t progressOf(const task_run &run) const
    {
        return std::min(run.saved + steadyNow() - run.startedAt, run.work);
    }

    std::string checkpointOf(const std::string &task, const task_run &run) const
    {
        const std::int64_t done = progressOf(run) / checkpointInterval * checkpointInterval;
        if (done == 0) {
            return {};
        }
        char text[17];
        std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(done), static_cast<unsigned>(std::hash<std::string>()(task)));
        return text;
    }

    void end(const std::string &task, const std::string &how)
    {
        const auto found = m_running.find(task);
        const task_run run = found->second;
        m_ends.push_back({++m_endNumber, task, run.number, how, how == "done" ? std::string() : checkpointOf(task, run)});
        m_highestEnded[task] = std::max(m_highestEnded[task], run.number);
        m_running.erase(found);
        record("end executor=" + m_id + " task=" + task + " run=" + std::to_string(run.number) + " how=" + how);
        for (const waiting_poll &poll : std::exchange(m_polls, {})) {
            answerPoll(poll.handle);
        }
    }

    /** Ends runs that are done, all runs when the lease is over, and polls that have waited long enough. */
    void advance()
    {
        const bool isLapsed = m_deadline > 0 && clock() > m_deadline;
        std::vector<std::string> over;
        for (const auto &[task, run] : m_running) {
            if (isLapsed || progressOf(run) >= run.work) {
                over.push_back(task);
            }
        }
        for (const std::string &task : over) {
            end(task, progressOf(m_running.at(task)) >= m_running.at(task).work ? "done" : "lapsed");
        }
        std::vector<waiting_poll> waiting;
        for (const waiting_poll &poll : std::exchange(m_polls, {})) {
            if (steadyNow() >= poll.until) {
                answerPoll(poll.handle);
            } else {
                waiting.push_back(poll);
            }
        }
        m_polls.insert(m_polls.end(), waiting.begin(), waiting.end());
        after(progressInterval, [this] { advance(); });
    }

    void extendLease(const json &body)
    {
        if (body.contains("DeadlineMs")) {
            m_deadline = std::max(m_deadline, std::min(body["DeadlineMs"].get<std::int64_t>(), clock() + m_maximumHold));
        }
    }

    void reject(const request &handle, const std::string &reason)
    {
        handle.answer(409, json{{"ClockMs", clock()}, {"born", m_born}, {"Reason", reason}});
    }

    void startTask(const request &handle, const json &body)
    {
        const std::string task = body["Task"];
        const std::int64_t run = body["Run"];
        const auto known = m_running.find(task);
        const bool isThere = known != m_running.end() && known->second.number == run;
        if (m_highestEnded.contains(task) && run <= m_highestEnded[task]) {
            extendLease(body);
            reject(handle, "old");
            return;
        }
        if (body["DeadlineMs"].get<std::int64_t>() <= clock()) {
            reject(handle, "late");
            return;
        }
        extendLease(body);
        if (!isThere) {
            const std::string specification = body["Spec"];
            const auto numberAfter = [&](const std::string &word) {
                const auto found = specification.find(word);
                return found == std::string::npos ? std::int64_t{0} : static_cast<std::int64_t>(std::stoll(specification.substr(found + word.size())));
            };
            const std::string checkpoint = body.value("Checkpoint", "");
            const std::int64_t saved = checkpoint.empty() ? 0 : std::stoll(checkpoint.substr(0, 8), nullptr, 16);
            const std::int64_t spread = numberAfter("spread=");
            const std::int64_t extra = spread == 0 ? 0 : static_cast<std::int64_t>(std::hash<std::string>()(task) % static_cast<std::size_t>(spread));
            m_running[task] = {run, steadyNow(), numberAfter("work=") + extra, saved, numberAfter("cpu=")};
            std::int64_t used = 0;
            for (const auto &[name, each] : m_running) {
                used += each.millicores;
            }
            record("start executor=" + m_id + " task=" + task + " run=" + std::to_string(run) + " used=" + std::to_string(used)
                   + " capacity=" + std::to_string(this->number("cpu", 0)));
        }
        handle.answer(200, json{{"ClockMs", clock()}, {"born", m_born}});
    }

    void stopTask(const request &handle, const json &body)
    {
        const std::string task = body["Task"];
        const std::int64_t run = body["Run"];
        const auto known = m_running.find(task);
        if (known != m_running.end() && known->second.number <= run) {
            end(task, "stopped");
        }
        m_highestEnded[task] = std::max(m_highestEnded[task], run);
        handle.answer(200, json{{"ClockMs", clock()}, {"born", m_born}});
    }

    void answerPoll(const request &handle)
    {
        constexpr std::int64_t whole = 100;
        json running = json::array();
        for (const auto &[task, run] : m_running) {
            running.push_back({task, run.number, checkpointOf(task, run), run.work == 0 ? whole : progressOf(run) * whole / run.work, run.millicores});
        }
        json finished = json::array();
        for (const task_end &each : m_ends) {
            if (finished.size() < maximumListedEnds) {
                finished.push_back({each.number, each.task, each.run, each.how, each.saved});
            }
        }
        handle.answer(200, json{{"ClockMs", clock()}, {"born", m_born}, {"Running", running}, {"Finished", finished}});
    }

    void poll(const request &handle, const json &body)
    {
        extendLease(body);
        const std::int64_t seen = body.value("LastSeen", std::int64_t{0});
        std::erase_if(m_ends, [seen](const task_end &each) { return each.number <= seen; });
        const std::int64_t wait = body.value("WaitMs", std::int64_t{0});
        if (wait > 0 && m_ends.empty()) {
            m_polls.push_back({handle, steadyNow() + wait});
        } else {
            answerPoll(handle);
        }
    }

    void handleRequest(const request &handle)
    {
        if (!handle.isPost()) {
            handle.answer(200, json::object());
            return;
        }
        const json body = json::parse(handle.body(), nullptr, false);
        if (!body.is_object()) {
            handle.answer(400, json::object());
            return;
        }
        if (handle.header("Expect-Instance") != m_id) {
            handle.answer(421, json{{"ClockMs", clock()}, {"born", m_born}});
            return;
        }
        const std::int64_t fence = body.value("FencingToken", std::int64_t{0});
        if (fence < m_fence) {
            reject(handle, "fence");
            return;
        }
        m_fence = fence;
        const std::string path = handle.path();
        if (path == "/run-start") {
            startTask(handle, body);
        } else if (path == "/run-stop") {
            stopTask(handle, body);
        } else if (path == "/hold") {
            poll(handle, body);
        } else {
            handle.answer(200, json{{"ClockMs", clock()}, {"born", m_born}});
        }
    }

    std::map<std::string, std::string> m_options;
    std::string m_id;
    std::int64_t m_startedAt;
    std::int64_t m_born;
    std::int64_t m_maximumHold;
    std::int64_t m_sequence = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_deadline = 0;
    std::int64_t m_endNumber = 0;
    std::map<std::string, task_run> m_running;
    std::map<std::string, std::int64_t> m_highestEnded;
    std::vector<task_end> m_ends;
    std::vector<waiting_poll> m_polls;
};

} // namespace

int runExecutor(const std::map<std::string, std::string> &options)
{
    openRecord(options.at("record"));
    static executor served(options);
    served.start();
    event_base_dispatch(loop());
    return 0;
}

} // namespace standin
