#include "load_generator.h"

#include "core/job_key.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace parsleyglade {

namespace {

constexpr duration tickInterval = std::chrono::milliseconds{1};
constexpr duration defaultRetryDelay = std::chrono::milliseconds{500};
constexpr duration maximumRetryDelay = std::chrono::seconds{10};
constexpr std::size_t maximumRecentJobs = 1000;
constexpr std::size_t maximumExamples = 10;

http_requester_settings requesterSettings(const load_settings &settings)
{
    http_requester_settings result;
    result.maximumConnections = settings.maximumConnections;
    return result;
}

} // namespace

load_generator::load_generator(event_loop &loop, load_settings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_requester(loop, requesterSettings(m_settings))
    , m_delayedCalls(loop)
{
}

void load_generator::start(std::function<void()> done)
{
    m_done = std::move(done);
    m_startedAt = m_loop.now();
    m_nextDueAt = m_startedAt;
    m_sendUntil = m_startedAt + std::chrono::duration_cast<duration>(std::chrono::duration<double>(m_settings.seconds));
    m_isSending = true;
    m_tick = m_loop.every(tickInterval, [this] { sendDueJobs(); });
}

const load_totals &load_generator::totals() const
{
    return m_totals;
}

const std::map<std::string, key_history> &load_generator::histories() const
{
    return m_histories;
}

void load_generator::sendDueJobs()
{
    if (!m_isSending) {
        if (m_unfinishedJobs == 0 && m_done) {
            m_tick.cancel();
            m_totals.elapsed = m_loop.now() - m_startedAt;
            std::exchange(m_done, nullptr)();
        }
        return;
    }

    const time_point now = m_loop.now();
    while (m_nextDueAt <= now && m_nextDueAt < m_sendUntil) {
        const job_pointer item = nextJob();
        item->dueAt = m_nextDueAt;
        ++m_totals.jobs;
        ++m_unfinishedJobs;
        sendAttempt(item);
        const double intervalSeconds = std::exponential_distribution<double>(m_settings.jobsPerSecond)(m_random);
        m_nextDueAt += std::chrono::duration_cast<duration>(std::chrono::duration<double>(intervalSeconds));
    }
    m_isSending = m_nextDueAt < m_sendUntil;
}

load_generator::job_pointer load_generator::nextJob()
{
    auto item = std::make_shared<job>();
    if (m_settings.keyPolicy == key_policy::repeated && !m_recentJobs.empty() && uniformRandom() < m_settings.repeatShare) {
        const job &earlier = *m_recentJobs[m_random() % m_recentJobs.size()];
        item->key = earlier.key;
        item->body = earlier.body;
        item->isLong = earlier.isLong;
        return item;
    }

    if (m_settings.keyPolicy != key_policy::none) {
        item->key = job_key::generate(m_loop.wallNow(), m_random).text();
    }
    item->isLong = uniformRandom() < m_settings.longShare;
    item->body = "job=" + std::to_string(m_totals.jobs) + " nonce=" + std::to_string(m_random()) + ' ';
    item->body.resize(std::max(item->body.size(), m_settings.minimumBodyBytes), 'x');

    if (m_settings.keyPolicy == key_policy::repeated) {
        if (m_recentJobs.size() < maximumRecentJobs) {
            m_recentJobs.push_back(item);
        } else {
            m_recentJobs[m_totals.jobs % maximumRecentJobs] = item;
        }
    }
    return item;
}

void load_generator::sendAttempt(const job_pointer &item)
{
    ++item->attempts;
    ++m_totals.attempts;

    outgoing_request request;
    request.address = m_settings.targets[m_random() % m_settings.targets.size()];
    request.method = m_settings.method;
    request.target = m_settings.route;
    request.body = item->body;
    request.timeout = m_settings.attemptTimeout;
    request.headers.emplace_back("Content-Type", "application/octet-stream");
    request.headers.emplace_back("Job-Run-Milliseconds", std::to_string(item->isLong ? m_settings.longRunMilliseconds : m_settings.runMilliseconds));
    if (!m_settings.token.empty()) {
        request.headers.emplace_back("Authorization", "Bearer " + m_settings.token);
    }
    if (!item->key.empty()) {
        request.headers.emplace_back("Idempotency-Key", item->key);
    }

    m_requester.send(request, [this, item, target = request.address](const http_result &response) {
        addUnansweredExample(target, response);
        handleAttemptEnd(item, response);
    });
}

void load_generator::addUnansweredExample(const std::string &target, const http_result &response)
{
    if (response.delivery == http_delivery::failed && m_totals.unansweredExamples.size() < maximumExamples) {
        m_totals.unansweredExamples.push_back(std::to_string(toSeconds(m_loop.now() - m_startedAt)) + ' ' + target + ' ' + response.reason);
    }
}

void load_generator::handleAttemptEnd(const job_pointer &item, const http_result &response)
{
    const attempt_state state = stateOf(response);
    ++m_totals.attemptCodes[resultCodeName(response)];
    if (!item->key.empty()) {
        key_history &history = m_histories[item->key];
        // An attempt that was not sent says nothing about the job, so the state of the attempt before it remains.
        history.lastState = state == attempt_state::not_sent ? history.lastState : state;
        history.completed += state == attempt_state::completed ? 1 : 0;
        ++history.attempts;
    }
    if (state == attempt_state::completed) {
        checkBody(*item, response);
    }

    if (!mayRetry(*item, response, state)) {
        recordJobEnd(*item, response, state);
        return;
    }
    const duration delay = m_settings.retryPolicy == retry_policy::immediate ? duration::zero() : retryDelay(response);
    m_delayedCalls.after(delay, [this, item] { sendAttempt(item); });
}

/** Counts a completed response that does not echo the body of its own request, unless it reports that the original response is no longer retained. */
void load_generator::checkBody(const job &item, const http_result &response)
{
    if (resultCodeName(response) == "answer_not_kept") {
        return;
    }
    const std::string expected = '\n' + item.body;
    const std::string &body = response.body;
    if (body.size() >= expected.size() && body.compare(body.size() - expected.size(), expected.size(), expected) == 0
        && body.find('\n') == body.size() - expected.size()) {
        return;
    }

    ++m_totals.foreignBodies;
    if (m_totals.foreignExamples.size() < maximumExamples) {
        m_totals.foreignExamples.push_back(item.key.empty() ? item.body : item.key);
    }
}

bool load_generator::mayRetry(const job &item, const http_result &response, attempt_state state) const
{
    if (m_settings.retryPolicy == retry_policy::none || state == attempt_state::completed || item.attempts >= m_settings.maximumAttempts) {
        return false;
    }
    return response.delivery != http_delivery::responded || !response.header("Retry-After").empty();
}

duration load_generator::retryDelay(const http_result &response) const
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_object() && body.contains("retryAfterMilliseconds") && body["retryAfterMilliseconds"].is_number_unsigned()) {
        const auto milliseconds = body["retryAfterMilliseconds"].get<std::uint32_t>();
        return std::min<duration>(std::chrono::milliseconds{milliseconds}, maximumRetryDelay);
    }

    const std::string_view text = response.header("Retry-After");
    std::uint32_t seconds = 0;
    if (text.empty() || std::from_chars(text.data(), text.data() + text.size(), seconds).ec != std::errc{}) {
        return defaultRetryDelay;
    }
    return std::min<duration>(std::chrono::seconds{seconds}, maximumRetryDelay);
}

void load_generator::recordJobEnd(const job &item, const http_result &response, attempt_state state)
{
    --m_unfinishedJobs;
    ++m_totals.states[std::string(name(state))];
    ++m_totals.codes[resultCodeName(response)];

    const duration latency = m_loop.now() - item.dueAt;
    if (state != attempt_state::completed) {
        m_totals.otherLatencies.push_back(latency);
    } else {
        (item.isLong ? m_totals.longLatencies : m_totals.shortLatencies).push_back(latency);
    }
}

double load_generator::uniformRandom()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

} // namespace parsleyglade
