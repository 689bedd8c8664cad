#include "entry_node.h"

#include <algorithm>
#include <sstream>

namespace parsleyglade::testing {

using namespace std::chrono_literals;

namespace {

constexpr int maximumRetries = 6;
constexpr duration callerTimeout = 6s;
constexpr duration settlingTime = 60s;

} // namespace

std::ostream &operator<<(std::ostream &stream, const fault &item)
{
    return stream << "fault " << item.kind << " at " << item.atPercent << " % of node " << item.node << " strength " << item.strength;
}

job_world::job_world(std::uint64_t seed, int jobs)
    : m_random(seed)
    , m_log(m_events, m_random)
{
    // Every limit is scaled down, so that freezes and cuts of seconds pass all of them.
    m_settings.appendDeadline = 1s;
    m_settings.dispatcherLostLimit = 3s;
    m_settings.snapshotInterval = 5s;
    m_settings.snapshotRecords = 60;
    m_settings.snapshotChunkEntries = 5;
    m_settings.readRecords = 40;
    m_settings.horizonStep = 500ms;
    m_settings.dedupWindow = m_random.oneIn(2) ? std::chrono::milliseconds{8s} : std::chrono::milliseconds{6h};
    m_settings.maximumClaims = m_random.oneIn(4) ? 10 : 100'000;
    if (!m_random.oneIn(3)) {
        m_log.settings() = {.lostAnswer = 8, .lateAppend = 15, .duplicate = 10, .refusal = 15, .garbage = 20, .staleRead = 3, .latency = 4ms};
    }

    for (int index = 0; index < nodeCount; ++index) {
        m_nodes.push_back(std::make_unique<entry_node>(*this, index));
    }
    for (int number = 0; number < jobs; ++number) {
        const duration created = m_random.upTo(activeTime * 4 / 5);
        model_job job;
        const auto skew = m_random.oneIn(30) ? std::chrono::milliseconds{2min} : 0ms;
        const auto created_ms = std::chrono::duration_cast<std::chrono::milliseconds>(created) + skew;
        job.identity = {job_key::generate(wall_time{std::chrono::milliseconds{baseMilliseconds} + created_ms}, m_random.engine()), caller_id{1}};
        m_jobs.push_back(job);

        const std::uint64_t copies = m_random.oneIn(3) ? 1 + m_random.below(3) : 1;
        for (std::uint64_t copy = 0; copy < copies; ++copy) {
            m_events.after(created + m_random.upTo(30ms), [this, number] { submit(number, static_cast<int>(m_random.below(nodeCount))); });
        }
        if (m_random.oneIn(4)) {
            m_events.after(created + 9s + m_random.upTo(15s), [this, number] { retry(number); });
        }
        if (m_random.oneIn(6)) {
            m_events.after(created + m_random.upTo(500ms), [this, number] {
                for (int node = 0; node < nodeCount; ++node) {
                    m_nodes[node]->post(1ms, [this, node, number] { m_nodes[node]->cancel(m_jobs[number].identity); });
                }
            });
        }
    }
}

job_world::~job_world() = default;

void job_world::run(const std::vector<fault> &faults, trial_counts &counts)
{
    plan(faults);
    m_events.runUntil(time_point{activeTime});
    heal();
    m_events.runUntil(time_point{activeTime + settlingTime});
    checkEnd();

    counts.trials += 1;
    counts.jobs += m_jobs.size();
    counts.requests += m_requests.size();
    counts.faults += faults.size();
    counts.records += m_log.size();
    counts.provisionalAfterRun += m_counts.provisionalAfterRun;
    counts.expired += m_counts.expired;
    counts.full += m_counts.full;
    for (const model_job &job : m_jobs) {
        counts.executions += job.executions.size();
    }
    for (std::size_t index = 0; index < counts.answers.size(); ++index) {
        counts.answers[index] += m_counts.answers[index];
    }
}

void job_world::plan(const std::vector<fault> &faults)
{
    for (const fault &item : faults) {
        m_events.after(activeTime * item.atPercent / 100, [this, item] { apply(item); });
    }
}

void job_world::apply(const fault &item)
{
    const duration time = 100ms + 150ms * item.strength;
    const int other = (item.node + 1 + item.strength % (nodeCount - 1)) % nodeCount;
    const time_point until = m_events.now() + time;
    entry_node &node = *m_nodes[item.node];
    switch (static_cast<fault_kind>(item.kind)) {
    case fault_kind::kill:
        node.kill();
        break;
    case fault_kind::freeze:
        node.freeze(time);
        break;
    case fault_kind::cut_both_ways:
        cut(other, item.node, time);
        [[fallthrough]];
    case fault_kind::cut_one_way:
        cut(item.node, other, time);
        break;
    case fault_kind::cut_requests_to_log:
        m_logCutUntil[item.node] = until;
        break;
    case fault_kind::cut_answers_from_log:
        m_logMuteUntil[item.node] = until;
        break;
    case fault_kind::log_down:
        m_log.setDown(true);
        m_events.after(time, [this] { m_log.setDown(false); });
        break;
    case fault_kind::clock_jump:
        node.jumpClock(std::chrono::hours{item.strength % 15 - 7});
        break;
    case fault_kind::split_views:
        for (int index = 0; index < nodeCount; ++index) {
            m_nodes[index]->post(0ms, [this, index] { m_nodes[index]->setView(index); });
        }
        break;
    case fault_kind::change_view:
        for (int index = 0; index < nodeCount; ++index) {
            m_nodes[index]->post(m_random.upTo(500ms), [this, index, view = item.node] { m_nodes[index]->setView(view); });
        }
        break;
    case fault_kind::trim:
        m_log.trim();
        break;
    case fault_kind::cancel_wave:
        for (const model_job &job : m_jobs) {
            node.post(m_random.upTo(5ms), [&node, identity = job.identity] { node.cancel(identity); });
        }
        break;
    case fault_kind::retry_wave:
        for (std::size_t job = 0; job < m_jobs.size(); ++job) {
            if (m_jobs[job].identity.key.created() <= wall()) {
                submit(job, item.node);
            }
        }
        break;
    }
}

void job_world::cut(int from, int to, duration time)
{
    m_cutUntil[from][to] = std::max(m_cutUntil[from][to], m_events.now() + time);
}

void job_world::submit(std::size_t job, int node)
{
    const std::size_t number = m_requests.size();
    m_requests.push_back({job, m_random.oneIn(25) ? 6 : 5, m_events.now(), false});
    m_nodes[node]->post(1ms, [this, node, number] { m_nodes[node]->submit(number); });
    m_events.after(callerTimeout, [this, job, number] {
        if (!m_requests[number].isAnswered) {
            retry(job);
        }
    });
}

void job_world::retry(std::size_t job)
{
    if (!m_isHealed && m_jobs[job].retries < maximumRetries) {
        ++m_jobs[job].retries;
        submit(job, static_cast<int>(m_random.below(nodeCount)));
    }
}

void job_world::send(int from, int to, std::function<void(entry_node &)> message)
{
    if (m_events.now() < m_cutUntil[from][to]) {
        return;
    }

    // A process that was killed loses what was sent to it; a frozen one reads it when it resumes.
    m_events.after(from == to ? duration{10us} : duration{500us} + m_random.upTo(2ms), [this, from, to, life = m_nodes[to]->life(), message] {
        if (m_events.now() >= m_cutUntil[from][to] && life == m_nodes[to]->life()) {
            m_nodes[to]->post(0ms, [this, to, message] { message(*m_nodes[to]); });
        }
    });
}

void job_world::execute(attempt_id attempt, std::size_t request)
{
    model_job &job = m_jobs[m_requests[request].job];
    job.executions.push_back(attempt);
    job.ranAt = job.ranAt.value_or(m_events.now());
    job.fingerprints.push_back(m_requests[request].fingerprint);
    if (job.executions.size() > 1) {
        violate(job, "ran twice");
    }
    if (m_notRun.contains(attempt)) {
        violate(job, "ran after its attempt was answered not run");
    }
}

void job_world::answered(std::size_t request, attempt_id attempt, const ledger_decision &decision, const wire::kept_answer *answer)
{
    model_request &asked = m_requests[request];
    const model_job &job = m_jobs[asked.job];
    ++m_counts.answers[static_cast<std::size_t>(decision.answer)];
    if (decision.answer == job_answer::completed) {
        checkCompleted(request, answer);
    }
    if (decision.answer == job_answer::not_run) {
        m_notRun.insert(attempt);
        const bool isOwnRun = std::find(job.executions.begin(), job.executions.end(), attempt) != job.executions.end();
        const bool isAboutKey = !decision.isProvisional && decision.code != result_code::key_reused;
        // Two requests that are under way at the same time may get two answers; an earlier run must be known.
        const bool hasRunBefore = job.ranAt && *job.ranAt <= asked.submittedAt;
        if (isOwnRun || (isAboutKey && hasRunBefore)) {
            violate(job, "was answered not run after it ran");
        }
        m_counts.provisionalAfterRun += decision.isProvisional && hasRunBefore ? 1 : 0;
        m_counts.full += decision.code == result_code::records_full ? 1 : 0;
    }
    m_counts.expired += decision.code == result_code::key_expired ? 1 : 0;

    const bool isFirst = !std::exchange(asked.isAnswered, true);
    if (isFirst && decision.answer != job_answer::completed && m_random.oneIn(2)) {
        m_events.after(m_random.upTo(1s), [this, number = asked.job] { retry(number); });
    }
}

void job_world::checkCompleted(std::size_t request, const wire::kept_answer *answer)
{
    const model_job &job = m_jobs[m_requests[request].job];
    if (job.executions.size() != 1) {
        violate(job, "was answered completed without one run");
    } else if (job.fingerprints.front() != m_requests[request].fingerprint) {
        violate(job, "was answered completed for another request");
    } else if (answer != nullptr && answer->body != bodyOf(request, job.executions.front())) {
        violate(job, "got the answer of another job");
    }
}

void job_world::heal()
{
    m_isHealed = true;
    m_cutUntil = {};
    m_logCutUntil = {};
    m_logMuteUntil = {};
    m_log.setDown(false);
    m_log.settings() = {};
    for (int index = 0; index < nodeCount; ++index) {
        m_nodes[index]->resume();
        m_nodes[index]->jumpClock(0ms);
        m_nodes[index]->setView(0);
    }
}

void job_world::checkEnd()
{
    if (!m_log.referee().openClaims().empty()) {
        m_violations.emplace_back("a claim stayed open");
    }
    for (const auto &node : m_nodes) {
        if (node->ledger().size() != 0) {
            m_violations.emplace_back("a ledger kept an attempt");
        }
    }

    std::size_t answers = 0;
    for (const model_job &job : m_jobs) {
        m_nodes[0]->query(job.identity, [this, &job, &answers](const wire::claim_reply &reply) {
            ++answers;
            checkVerdict(job, reply);
        });
    }
    m_events.runUntil(m_events.now() + 5s);
    if (answers != m_jobs.size()) {
        m_violations.emplace_back("a query got no answer");
    }

    const claim_fold &fold = m_nodes[0]->coordinator().fold();
    if (fold.nextOffset() == m_log.referee().nextOffset() && fold.digest() != m_log.referee().digest()) {
        m_violations.emplace_back("the coordinator's state differs from the log's");
    }
}

void job_world::checkVerdict(const model_job &job, const wire::claim_reply &reply)
{
    const std::size_t runs = job.executions.size();
    switch (reply.verdict) {
    case wire::claim_verdict::completed:
        if (runs != 1) {
            violate(job, "is recorded as completed without one run");
        }
        break;
    case wire::claim_verdict::refused:
    case wire::claim_verdict::not_found:
        if (runs != 0) {
            violate(job, "is recorded as not run, and ran");
        }
        break;
    case wire::claim_verdict::outcome_unknown:
        if (reply.code == static_cast<int>(result_code::log_unavailable)) {
            violate(job, "got no verdict");
        }
        break;
    case wire::claim_verdict::key_expired:
        break;
    default:
        violate(job, "ended with a verdict that is not final");
    }
}

void job_world::violate(const model_job &job, const std::string &what)
{
    std::ostringstream text;
    text << "job " << job.identity.key.text() << " " << what << " at " << toSeconds(m_events.now().time_since_epoch()) << " s";
    m_violations.push_back(text.str());
}

const std::vector<std::string> &job_world::violations() const
{
    return m_violations;
}

event_queue &job_world::events()
{
    return m_events;
}

trial_random &job_world::random()
{
    return m_random;
}

model_log &job_world::log()
{
    return m_log;
}

const coordinator_settings &job_world::settings() const
{
    return m_settings;
}

const model_request &job_world::request(std::size_t number) const
{
    return m_requests[number];
}

claim_identity job_world::identityOf(std::size_t request) const
{
    return m_jobs[m_requests[request].job].identity;
}

bool job_world::canReachLog(int node) const
{
    return m_events.now() >= m_logCutUntil[node];
}

bool job_world::canHearLog(int node) const
{
    return m_events.now() >= m_logMuteUntil[node];
}

std::string job_world::bodyOf(std::size_t request, attempt_id attempt) const
{
    return identityOf(request).key.text() + " " + std::to_string(m_requests[request].fingerprint) + " " + std::to_string(static_cast<std::int64_t>(attempt));
}

wall_time job_world::wall() const
{
    return wall_time{std::chrono::milliseconds{baseMilliseconds} + std::chrono::duration_cast<std::chrono::milliseconds>(m_events.now().time_since_epoch())};
}

} // namespace parsleyglade::testing
