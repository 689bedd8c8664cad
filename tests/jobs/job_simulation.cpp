#include "simulated_host.h"

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
    return stream << "fault " << item.kind << " at " << item.atPercent << " % on host " << item.host << " strength " << item.strength;
}

job_simulation::job_simulation(std::uint64_t seed, int jobs)
    : m_random(seed)
    , m_log(m_events, m_random)
{
    // Every timeout is scaled down, so that freezes and partitions of a few seconds exceed all of them.
    m_settings.appendDeadline = 1s;
    m_settings.dispatcherLostTimeout = 3s;
    m_settings.snapshotInterval = 5s;
    m_settings.snapshotRecords = 60;
    m_settings.snapshotChunkEntries = 5;
    m_settings.readRecords = 40;
    m_settings.horizonStep = 500ms;
    m_settings.dedupWindow = m_random.oneIn(2) ? std::chrono::milliseconds{8s} : std::chrono::milliseconds{6h};
    m_settings.maximumClaims = m_random.oneIn(4) ? 10 : 100'000;
    if (!m_random.oneIn(3)) {
        m_log.settings() = {.lostResponse = 8, .lateAppend = 15, .duplicate = 10, .refusal = 15, .corruption = 20, .staleRead = 3, .latency = 4ms};
    }

    for (int index = 0; index < hostCount; ++index) {
        m_hosts.push_back(std::make_unique<simulated_host>(*this, index));
    }
    for (int number = 0; number < jobs; ++number) {
        const duration created = m_random.upTo(activeTime * 4 / 5);
        simulated_job job;
        const auto skew = m_random.oneIn(30) ? std::chrono::milliseconds{2min} : 0ms;
        const auto created_ms = std::chrono::duration_cast<std::chrono::milliseconds>(created) + skew;
        job.identity = {job_key::generate(wall_time{std::chrono::milliseconds{baseMilliseconds} + created_ms}, m_random.engine()), caller_id{1}};
        m_jobs.push_back(job);

        const std::uint64_t copies = m_random.oneIn(3) ? 1 + m_random.below(3) : 1;
        for (std::uint64_t copy = 0; copy < copies; ++copy) {
            m_events.after(created + m_random.upTo(30ms), [this, number] { submit(number, static_cast<int>(m_random.below(hostCount))); });
        }
        if (m_random.oneIn(4)) {
            m_events.after(created + 9s + m_random.upTo(15s), [this, number] { retry(number); });
        }
        if (m_random.oneIn(6)) {
            m_events.after(created + m_random.upTo(500ms), [this, number] {
                for (int host = 0; host < hostCount; ++host) {
                    m_hosts[host]->post(1ms, [this, host, number] { m_hosts[host]->cancel(m_jobs[number].identity); });
                }
            });
        }
    }
}

job_simulation::~job_simulation() = default;

void job_simulation::run(const std::vector<fault> &faults, trial_counts &counts)
{
    plan(faults);
    m_events.runUntil(time_point{activeTime});
    removeFaults();
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
    for (const simulated_job &job : m_jobs) {
        counts.executions += job.executions.size();
    }
    for (std::size_t index = 0; index < counts.replies.size(); ++index) {
        counts.replies[index] += m_counts.replies[index];
    }
}

void job_simulation::plan(const std::vector<fault> &faults)
{
    for (const fault &item : faults) {
        m_events.after(activeTime * item.atPercent / 100, [this, item] { apply(item); });
    }
}

void job_simulation::apply(const fault &item)
{
    const duration time = 100ms + 150ms * item.strength;
    const int other = (item.host + 1 + item.strength % (hostCount - 1)) % hostCount;
    const time_point until = m_events.now() + time;
    simulated_host &host = *m_hosts[item.host];
    switch (static_cast<fault_kind>(item.kind)) {
    case fault_kind::kill:
        host.kill();
        break;
    case fault_kind::freeze:
        host.freeze(time);
        break;
    case fault_kind::partition_both_ways:
        partition(other, item.host, time);
        [[fallthrough]];
    case fault_kind::partition_one_way:
        partition(item.host, other, time);
        break;
    case fault_kind::drop_requests_to_log:
        m_logRequestsDroppedUntil[item.host] = until;
        break;
    case fault_kind::drop_responses_from_log:
        m_logResponsesDroppedUntil[item.host] = until;
        break;
    case fault_kind::log_down:
        m_log.setDown(true);
        m_events.after(time, [this] { m_log.setDown(false); });
        break;
    case fault_kind::clock_jump:
        host.jumpClock(std::chrono::hours{item.strength % 15 - 7});
        break;
    case fault_kind::split_views:
        for (int index = 0; index < hostCount; ++index) {
            m_hosts[index]->post(0ms, [this, index] { m_hosts[index]->setView(index); });
        }
        break;
    case fault_kind::change_view:
        for (int index = 0; index < hostCount; ++index) {
            m_hosts[index]->post(m_random.upTo(500ms), [this, index, view = item.host] { m_hosts[index]->setView(view); });
        }
        break;
    case fault_kind::trim:
        m_log.trim();
        break;
    case fault_kind::cancel_wave:
        for (const simulated_job &job : m_jobs) {
            host.post(m_random.upTo(5ms), [&host, identity = job.identity] { host.cancel(identity); });
        }
        break;
    case fault_kind::retry_wave:
        for (std::size_t job = 0; job < m_jobs.size(); ++job) {
            if (m_jobs[job].identity.key.created() <= wall()) {
                submit(job, item.host);
            }
        }
        break;
    }
}

void job_simulation::partition(int from, int to, duration time)
{
    m_partitionedUntil[from][to] = std::max(m_partitionedUntil[from][to], m_events.now() + time);
}

void job_simulation::submit(std::size_t job, int host)
{
    const std::size_t number = m_requests.size();
    m_requests.push_back({job, m_random.oneIn(25) ? 6 : 5, m_events.now(), false});
    m_hosts[host]->post(1ms, [this, host, number] { m_hosts[host]->submit(number); });
    m_events.after(callerTimeout, [this, job, number] {
        if (!m_requests[number].hasResponse) {
            retry(job);
        }
    });
}

void job_simulation::retry(std::size_t job)
{
    if (!m_areFaultsRemoved && m_jobs[job].retries < maximumRetries) {
        ++m_jobs[job].retries;
        submit(job, static_cast<int>(m_random.below(hostCount)));
    }
}

void job_simulation::send(int from, int to, std::function<void(simulated_host &)> message)
{
    if (m_events.now() < m_partitionedUntil[from][to]) {
        return;
    }

    // A killed process loses the messages sent to it; a frozen one handles them after it resumes.
    m_events.after(from == to ? duration{10us} : duration{500us} + m_random.upTo(2ms), [this, from, to, generation = m_hosts[to]->generation(), message] {
        if (m_events.now() >= m_partitionedUntil[from][to] && generation == m_hosts[to]->generation()) {
            m_hosts[to]->post(0ms, [this, to, message] { message(*m_hosts[to]); });
        }
    });
}

void job_simulation::execute(attempt_id attempt, std::size_t request)
{
    simulated_job &job = m_jobs[m_requests[request].job];
    job.executions.push_back(attempt);
    job.ranAt = job.ranAt.value_or(m_events.now());
    job.fingerprints.push_back(m_requests[request].fingerprint);
    if (job.executions.size() > 1) {
        addViolation(job, "ran twice");
    }
    if (m_notRun.contains(attempt)) {
        addViolation(job, "ran after its attempt was answered not run");
    }
}

void job_simulation::handleDecision(std::size_t request, attempt_id attempt, const attempt_decision &decision, const wire::kept_answer *response)
{
    simulated_request &submitted = m_requests[request];
    const simulated_job &job = m_jobs[submitted.job];
    ++m_counts.replies[static_cast<std::size_t>(decision.jobState)];
    if (decision.jobState == job_state::completed) {
        checkCompleted(request, response);
    }
    if (decision.jobState == job_state::not_run) {
        m_notRun.insert(attempt);
        const bool isOwnRun = std::find(job.executions.begin(), job.executions.end(), attempt) != job.executions.end();
        const bool isAboutKey = !decision.isProvisional && decision.code != result_code::key_reused;
        // Concurrent requests may get different replies, but a run before this request was submitted must be known.
        const bool hasRunBefore = job.ranAt && *job.ranAt <= submitted.submittedAt;
        if (isOwnRun || (isAboutKey && hasRunBefore)) {
            addViolation(job, "was answered not run after it ran");
        }
        m_counts.provisionalAfterRun += decision.isProvisional && hasRunBefore ? 1 : 0;
        m_counts.full += decision.code == result_code::records_full ? 1 : 0;
    }
    m_counts.expired += decision.code == result_code::key_expired ? 1 : 0;

    const bool isFirst = !std::exchange(submitted.hasResponse, true);
    if (isFirst && decision.jobState != job_state::completed && m_random.oneIn(2)) {
        m_events.after(m_random.upTo(1s), [this, number = submitted.job] { retry(number); });
    }
}

void job_simulation::checkCompleted(std::size_t request, const wire::kept_answer *response)
{
    const simulated_job &job = m_jobs[m_requests[request].job];
    if (job.executions.size() != 1) {
        addViolation(job, "was answered completed without one run");
    } else if (job.fingerprints.front() != m_requests[request].fingerprint) {
        addViolation(job, "was answered completed for another request");
    } else if (response != nullptr && response->body != bodyOf(request, job.executions.front())) {
        addViolation(job, "was answered with the response of another job");
    }
}

void job_simulation::removeFaults()
{
    m_areFaultsRemoved = true;
    m_partitionedUntil = {};
    m_logRequestsDroppedUntil = {};
    m_logResponsesDroppedUntil = {};
    m_log.setDown(false);
    m_log.settings() = {};
    for (int index = 0; index < hostCount; ++index) {
        m_hosts[index]->resume();
        m_hosts[index]->jumpClock(0ms);
        m_hosts[index]->setView(0);
    }
}

void job_simulation::checkEnd()
{
    if (!m_log.reference().openClaims().empty()) {
        m_violations.emplace_back("a claim is still open at the end");
    }
    for (const auto &host : m_hosts) {
        if (host->tracker().size() != 0) {
            m_violations.emplace_back("an attempt tracker still has an attempt at the end");
        }
    }

    std::size_t replyCount = 0;
    for (const simulated_job &job : m_jobs) {
        m_hosts[0]->query(job.identity, [this, &job, &replyCount](const wire::claim_reply &reply) {
            ++replyCount;
            checkVerdict(job, reply);
        });
    }
    m_events.runUntil(m_events.now() + 5s);
    if (replyCount != m_jobs.size()) {
        m_violations.emplace_back("a query was not answered");
    }

    const claim_fold &fold = m_hosts[0]->coordinator().fold();
    if (fold.nextOffset() == m_log.reference().nextOffset() && fold.digest() != m_log.reference().digest()) {
        m_violations.emplace_back("the state of the coordinator differs from the reference state");
    }
}

void job_simulation::checkVerdict(const simulated_job &job, const wire::claim_reply &reply)
{
    const std::size_t runs = job.executions.size();
    switch (reply.verdict) {
    case wire::claim_verdict::completed:
        if (runs != 1) {
            addViolation(job, "is recorded as completed without one run");
        }
        break;
    case wire::claim_verdict::refused:
    case wire::claim_verdict::not_found:
        if (runs != 0) {
            addViolation(job, "is recorded as not run, but ran");
        }
        break;
    case wire::claim_verdict::outcome_unknown:
        if (reply.code == static_cast<int>(result_code::log_unavailable)) {
            addViolation(job, "got no verdict");
        }
        break;
    case wire::claim_verdict::key_expired:
        break;
    default:
        addViolation(job, "ended with a verdict that is not final");
    }
}

void job_simulation::addViolation(const simulated_job &job, const std::string &what)
{
    std::ostringstream text;
    text << "job " << job.identity.key.text() << " " << what << " at " << toSeconds(m_events.now().time_since_epoch()) << " s";
    m_violations.push_back(text.str());
}

const std::vector<std::string> &job_simulation::violations() const
{
    return m_violations;
}

event_queue &job_simulation::events()
{
    return m_events;
}

trial_random &job_simulation::random()
{
    return m_random;
}

simulated_log &job_simulation::log()
{
    return m_log;
}

const coordinator_settings &job_simulation::settings() const
{
    return m_settings;
}

const simulated_request &job_simulation::request(std::size_t number) const
{
    return m_requests[number];
}

claim_identity job_simulation::identityOf(std::size_t request) const
{
    return m_jobs[m_requests[request].job].identity;
}

bool job_simulation::canReachLog(int host) const
{
    return m_events.now() >= m_logRequestsDroppedUntil[host];
}

bool job_simulation::canReceiveFromLog(int host) const
{
    return m_events.now() >= m_logResponsesDroppedUntil[host];
}

std::string job_simulation::bodyOf(std::size_t request, attempt_id attempt) const
{
    return identityOf(request).key.text() + " " + std::to_string(m_requests[request].fingerprint) + " " + std::to_string(static_cast<std::int64_t>(attempt));
}

wall_time job_simulation::wall() const
{
    return wall_time{std::chrono::milliseconds{baseMilliseconds} + std::chrono::duration_cast<std::chrono::milliseconds>(m_events.now().time_since_epoch())};
}

} // namespace parsleyglade::testing
