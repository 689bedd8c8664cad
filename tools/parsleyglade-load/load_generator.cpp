#include "load_generator.h"

#include "core/job_key.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace parsleyglade {

namespace {

constexpr duration tickInterval = std::chrono::milliseconds{1};
constexpr duration retryDelayWithoutAdvice = std::chrono::milliseconds{500};
constexpr duration longestRetryDelay = std::chrono::seconds{10};
constexpr std::size_t repeatableJobs = 1000;
constexpr std::size_t maximumExamples = 10;

http_requester_settings requesterSettings(const load_settings &settings)
{
    http_requester_settings result;
    result.maximumConnections = settings.connections;
    return result;
}

} // namespace

load_generator::load_generator(event_loop &loop, load_settings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_requester(loop, requesterSettings(m_settings))
    , m_calls(loop)
{
}

void load_generator::start(std::function<void()> done)
{
    m_done = std::move(done);
    m_started = m_loop.now();
    m_nextDue = m_started;
    m_end = m_started + std::chrono::duration_cast<duration>(std::chrono::duration<double>(m_settings.seconds));
    m_isSending = true;
    m_tick = m_loop.every(tickInterval, [this] { sendDue(); });
}

const load_totals &load_generator::totals() const
{
    return m_totals;
}

const std::map<std::string, key_history> &load_generator::histories() const
{
    return m_histories;
}

void load_generator::sendDue()
{
    if (!m_isSending) {
        if (m_outstanding == 0 && m_done) {
            m_tick.cancel();
            m_totals.elapsed = m_loop.now() - m_started;
            std::exchange(m_done, nullptr)();
        }
        return;
    }

    const time_point now = m_loop.now();
    while (m_nextDue <= now && m_nextDue < m_end) {
        const job_pointer item = nextJob();
        item->due = m_nextDue;
        ++m_totals.jobs;
        ++m_outstanding;
        attempt(item);
        const double gapSeconds = std::exponential_distribution<double>(m_settings.rate)(m_random);
        m_nextDue += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gapSeconds));
    }
    m_isSending = m_nextDue < m_end;
}

load_generator::job_pointer load_generator::nextJob()
{
    auto item = std::make_shared<job>();
    if (m_settings.keys == key_policy::repeated && !m_recent.empty() && random() < m_settings.repeatShare) {
        const job &earlier = *m_recent[m_random() % m_recent.size()];
        item->key = earlier.key;
        item->body = earlier.body;
        item->isLong = earlier.isLong;
        return item;
    }

    if (m_settings.keys != key_policy::none) {
        item->key = job_key::generate(m_loop.wallNow(), m_random).text();
    }
    item->isLong = random() < m_settings.longShare;
    item->body = "job=" + std::to_string(m_totals.jobs) + " nonce=" + std::to_string(m_random()) + ' ';
    item->body.resize(std::max(item->body.size(), m_settings.bodyBytes), 'x');

    if (m_settings.keys == key_policy::repeated) {
        if (m_recent.size() < repeatableJobs) {
            m_recent.push_back(item);
        } else {
            m_recent[m_totals.jobs % repeatableJobs] = item;
        }
    }
    return item;
}

void load_generator::attempt(const job_pointer &item)
{
    ++item->attempts;
    ++m_totals.attempts;

    outgoing_request request;
    request.address = m_settings.targets[m_random() % m_settings.targets.size()];
    request.method = m_settings.method;
    request.target = m_settings.route;
    request.body = item->body;
    request.timeout = m_settings.timeLimit;
    request.headers.emplace_back("Content-Type", "application/octet-stream");
    request.headers.emplace_back("Job-Run-Milliseconds", std::to_string(item->isLong ? m_settings.longRunMilliseconds : m_settings.runMilliseconds));
    if (!m_settings.token.empty()) {
        request.headers.emplace_back("Authorization", "Bearer " + m_settings.token);
    }
    if (!item->key.empty()) {
        request.headers.emplace_back("Idempotency-Key", item->key);
    }

    m_requester.send(request, [this, item, target = request.address](const http_result &answer) {
        noteUnanswered(target, answer);
        ended(item, answer);
    });
}

void load_generator::noteUnanswered(const std::string &target, const http_result &answer)
{
    if (answer.delivery == http_delivery::failed && m_totals.unansweredExamples.size() < maximumExamples) {
        m_totals.unansweredExamples.push_back(std::to_string(toSeconds(m_loop.now() - m_started)) + ' ' + target + ' ' + answer.reason);
    }
}

void load_generator::ended(const job_pointer &item, const http_result &answer)
{
    const answer_state state = stateOf(answer);
    ++m_totals.attemptCodes[codeOf(answer)];
    if (!item->key.empty()) {
        key_history &history = m_histories[item->key];
        // An attempt that was not sent is no answer, and leaves the last one standing.
        history.last = state == answer_state::not_sent ? history.last : state;
        history.completed += state == answer_state::completed ? 1 : 0;
        ++history.attempts;
    }
    if (state == answer_state::completed) {
        checkBody(*item, answer);
    }

    if (!mayRetry(*item, answer, state)) {
        finish(*item, answer, state);
        return;
    }
    const duration delay = m_settings.retry == retry_policy::immediate ? duration::zero() : retryDelay(answer);
    m_calls.after(delay, [this, item] { attempt(item); });
}

/** Counts a completed answer that does not echo its own request, unless it says that the answer is no longer kept. */
void load_generator::checkBody(const job &item, const http_result &answer)
{
    if (codeOf(answer) == "answer_not_kept") {
        return;
    }
    const std::string expected = '\n' + item.body;
    const std::string &body = answer.body;
    if (body.size() >= expected.size() && body.compare(body.size() - expected.size(), expected.size(), expected) == 0
        && body.find('\n') == body.size() - expected.size()) {
        return;
    }

    ++m_totals.foreignBodies;
    if (m_totals.foreignExamples.size() < maximumExamples) {
        m_totals.foreignExamples.push_back(item.key.empty() ? item.body : item.key);
    }
}

bool load_generator::mayRetry(const job &item, const http_result &answer, answer_state state) const
{
    if (m_settings.retry == retry_policy::none || state == answer_state::completed || item.attempts >= m_settings.attempts) {
        return false;
    }
    return answer.delivery != http_delivery::completed || !answer.header("Retry-After").empty();
}

duration load_generator::retryDelay(const http_result &answer) const
{
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (body.is_object() && body.contains("retryAfterMilliseconds") && body["retryAfterMilliseconds"].is_number_unsigned()) {
        const auto milliseconds = body["retryAfterMilliseconds"].get<std::uint32_t>();
        return std::min<duration>(std::chrono::milliseconds{milliseconds}, longestRetryDelay);
    }

    const std::string_view text = answer.header("Retry-After");
    std::uint32_t seconds = 0;
    if (text.empty() || std::from_chars(text.data(), text.data() + text.size(), seconds).ec != std::errc{}) {
        return retryDelayWithoutAdvice;
    }
    return std::min<duration>(std::chrono::seconds{seconds}, longestRetryDelay);
}

void load_generator::finish(const job &item, const http_result &answer, answer_state state)
{
    --m_outstanding;
    ++m_totals.states[std::string(name(state))];
    ++m_totals.codes[codeOf(answer)];

    const duration latency = m_loop.now() - item.due;
    if (state != answer_state::completed) {
        m_totals.otherLatencies.push_back(latency);
    } else {
        (item.isLong ? m_totals.longLatencies : m_totals.shortLatencies).push_back(latency);
    }
}

double load_generator::random()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

} // namespace parsleyglade
