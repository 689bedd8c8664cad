#include "simulated_host.h"

namespace parsleyglade::testing {

using namespace std::chrono_literals;

simulated_host::simulated_host(job_simulation &simulation, int index)
    : m_simulation(simulation)
    , m_index(index)
{
    begin();
}

void simulated_host::begin()
{
    coordinator_settings settings = m_simulation.settings();
    settings.writer = m_incarnation = incarnation_id{static_cast<std::int64_t>(m_simulation.random().engine()())};
    m_coordinator = std::make_unique<claim_coordinator>(settings, m_simulation.random().engine()());
    m_tracker
        = std::make_unique<attempt_tracker>(attempt_tracker_settings{.incarnation = m_incarnation, .maximumAttempts = 500}, m_simulation.random().engine()());
    m_requests.clear();
    m_replies.clear();
    m_acknowledgements.clear();
    m_wakeAt.reset();
    post(0ms, [this] { setView(m_view); });
    post(1ms, [this] { sendReports(); });
    post(1ms, [this] { sendHeartbeat(); });
}

void simulated_host::post(duration delay, std::function<void()> event)
{
    m_simulation.events().after(delay, [this, generation = m_generation, event = std::move(event)] {
        if (generation != m_generation) {
            return;
        }
        if (m_isFrozen) {
            m_backlog.push_back(event);
            return;
        }
        event();
    });
}

void simulated_host::kill()
{
    ++m_generation;
    m_isFrozen = false;
    m_backlog.clear();
    begin();
}

void simulated_host::freeze(duration time)
{
    if (!m_isFrozen) {
        m_isFrozen = true;
        m_simulation.events().after(time, [this, generation = m_generation] {
            if (generation == m_generation) {
                resume();
            }
        });
    }
}

void simulated_host::resume()
{
    m_isFrozen = false;
    for (const auto &event : std::exchange(m_backlog, {})) {
        event();
    }
}

void simulated_host::jumpClock(std::chrono::milliseconds offset)
{
    m_clockOffset = offset;
}

void simulated_host::setView(int coordinator)
{
    m_view = coordinator;
    perform(m_view == m_index ? m_coordinator->start(at()) : m_coordinator->stop(at()));
}

clock_reading simulated_host::at() const
{
    const auto now = m_simulation.events().now();
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    return {now, wall_time{std::chrono::milliseconds{baseMilliseconds} + elapsed + m_clockOffset}};
}

void simulated_host::submit(std::size_t request)
{
    job_to_claim job;
    job.identity = m_simulation.identityOf(request);
    job.fingerprint = m_simulation.request(request).fingerprint;
    job.wait = std::chrono::milliseconds{m_simulation.random().below(3) * 700};
    const auto begun = m_tracker->begin(job);
    if (!begun) {
        return;
    }

    const attempt_id attempt{begun->claim.attempt};
    m_requests[attempt] = request;
    requestClaim(attempt, *begun);
    post(500ms + m_simulation.random().upTo(4s),
         [this, attempt] { applyDecision(attempt, m_tracker->abandon(attempt, result_code::deadline_unreachable, at().now), nullptr); });
}

void simulated_host::cancel(const claim_identity &identity)
{
    const cancel_decision decision = m_tracker->cancel(identity, at().now);
    for (const attempt_id attempt : decision.ended) {
        // It is not known here whether the log has decided, so the reply is checked as a provisional one.
        applyDecision(attempt, {job_state::not_run, job_action::none, result_code::cancelled, true}, nullptr);
    }
}

void simulated_host::requestClaim(attempt_id attempt, const wire::claim_request &request)
{
    m_simulation.send(m_index, m_view, [from = m_index, attempt, request](simulated_host &to) { to.receiveClaim(from, attempt, request); });
    post(300ms + m_simulation.random().upTo(400ms), [this, attempt] { repeatClaim(attempt); });
}

void simulated_host::repeatClaim(attempt_id attempt)
{
    if (const auto request = m_tracker->repeatRequest(attempt)) {
        requestClaim(attempt, *request);
    }
}

void simulated_host::receiveClaim(int from, attempt_id attempt, const wire::claim_request &request)
{
    const reply_handle handle{m_nextHandle++};
    m_replies[handle] = [this, from, attempt](const wire::claim_reply &reply) {
        m_simulation.send(m_index, from, [attempt, reply](simulated_host &to) { to.receiveReply(attempt, reply); });
    };
    perform(m_coordinator->request(handle, request, at()));
}

void simulated_host::receiveReply(attempt_id attempt, const wire::claim_reply &reply)
{
    applyDecision(attempt, m_tracker->claimReplyReceived(attempt, reply, at().now), reply.__isset.answer ? &reply.answer : nullptr);
}

void simulated_host::receiveReport(int from, const wire::result_report &report)
{
    const reply_handle handle{m_nextHandle++};
    m_acknowledgements[handle] = [this, from, entry = report.result](bool isRecorded) {
        m_simulation.send(m_index, from, [entry, isRecorded](simulated_host &to) { to.m_tracker->reportAcknowledged(entry, isRecorded); });
    };
    perform(m_coordinator->report(handle, report, at()));
}

void simulated_host::receiveHeartbeat(incarnation_id dispatcher)
{
    m_coordinator->dispatcherActive(dispatcher, at());
}

void simulated_host::query(const claim_identity &identity, std::function<void(const wire::claim_reply &)> done)
{
    wire::claim_request request;
    request.claim.key = identity.key.bytes();
    request.claim.caller = static_cast<std::int64_t>(identity.caller);
    request.queryOnly = true;
    const reply_handle handle{m_nextHandle++};
    m_replies[handle] = std::move(done);
    perform(m_coordinator->request(handle, request, at()));
}

void simulated_host::applyDecision(attempt_id attempt, const attempt_decision &decision, const wire::kept_answer *response)
{
    if (decision.action == job_action::send) {
        const duration queueing = m_simulation.random().oneIn(10) ? 3s : 30ms;
        post(m_simulation.random().upTo(queueing), [this, attempt] { sendJob(attempt); });
    }
    if (decision.action == job_action::send_again) {
        if (m_simulation.random().oneIn(2)) {
            sendJob(attempt);
        } else {
            applyDecision(attempt, m_tracker->abandon(attempt, result_code::endpoint_refused, at().now), nullptr);
        }
    }
    if (decision.jobState != job_state::none && m_requests.contains(attempt)) {
        m_simulation.handleDecision(m_requests.at(attempt), attempt, decision, response);
    }
}

void simulated_host::sendJob(attempt_id attempt)
{
    if (m_tracker->startSend(attempt)) {
        // The process may be frozen between the check and the send.
        post(m_simulation.random().upTo(2ms), [this, attempt] { contactEndpoint(attempt); });
    }
}

void simulated_host::contactEndpoint(attempt_id attempt)
{
    const std::size_t request = m_requests.at(attempt);
    const std::uint64_t choice = m_simulation.random().below(10);
    const duration runTime = m_simulation.random().upTo(m_simulation.random().oneIn(20) ? duration{6s} : duration{300ms});
    const bool isStarted = choice > 1;
    if (isStarted) {
        m_simulation.events().after(1ms, [&simulation = m_simulation, attempt, request] { simulation.execute(attempt, request); });
    }

    post(2ms + runTime, [this, attempt, request, choice] {
        send_outcome outcome = send_not_started{};
        wire::kept_answer response;
        if (choice == 1 || choice == 2) {
            outcome = send_lost{};
        } else if (choice > 2) {
            response.httpStatus = 200;
            response.body = m_simulation.bodyOf(request, attempt);
            outcome = complete_response{response};
        }
        applyDecision(attempt, m_tracker->sendEnded(attempt, outcome, at().now), &response);
    });
}

void simulated_host::sendReports()
{
    for (const wire::result_report &report : m_tracker->dueReports(at().now, 50)) {
        m_simulation.send(m_index, m_view, [from = m_index, report](simulated_host &to) { to.receiveReport(from, report); });
    }
    post(100ms, [this] { sendReports(); });
}

void simulated_host::sendHeartbeat()
{
    for (int other = 0; other < job_simulation::hostCount; ++other) {
        m_simulation.send(m_index, other, [dispatcher = m_incarnation](simulated_host &to) { to.receiveHeartbeat(dispatcher); });
    }
    post(500ms, [this] { sendHeartbeat(); });
}

void simulated_host::perform(const coordinator_actions &actions)
{
    for (const coordinator_action &action : actions) {
        std::visit([this](const auto &item) { performAction(item); }, action);
    }
    scheduleWake();
}

void simulated_host::performAction(const append_action &action)
{
    const auto respond = [this, generation = m_generation](const append_response &result) {
        if (generation == m_generation) {
            const append_response received = m_simulation.canReceiveFromLog(m_index) ? result : append_response{};
            post(0ms, [this, received] { perform(m_coordinator->appendCompleted(received, at())); });
        }
    };
    if (m_simulation.canReachLog(m_index)) {
        m_simulation.log().append(action.payload, respond);
    } else {
        m_simulation.events().after(300ms, [respond] { respond(append_response{}); });
    }
}

void simulated_host::performAction(const read_action &action)
{
    const auto respond = [this, generation = m_generation](const read_response &result) {
        if (generation == m_generation) {
            const read_response received = m_simulation.canReceiveFromLog(m_index) ? result : read_response{};
            post(0ms, [this, received] { perform(m_coordinator->readCompleted(received, at())); });
        }
    };
    if (m_simulation.canReachLog(m_index)) {
        m_simulation.log().read(action.from, action.maximumRecords, respond);
    } else {
        m_simulation.events().after(300ms, [respond] { respond(read_response{}); });
    }
}

void simulated_host::performAction(const reply_action &action)
{
    const auto node = m_replies.extract(action.handle);
    node.mapped()(action.reply);
}

void simulated_host::performAction(const acknowledge_action &action)
{
    const auto node = m_acknowledgements.extract(action.handle);
    node.mapped()(action.isRecorded);
}

void simulated_host::scheduleWake()
{
    const auto wake = m_coordinator->nextWake();
    const time_point now = at().now;
    if (!wake || (m_wakeAt && *m_wakeAt <= *wake && *m_wakeAt > now)) {
        return;
    }

    m_wakeAt = std::max(*wake, now);
    post(*m_wakeAt - now, [this] {
        m_wakeAt.reset();
        perform(m_coordinator->tick(at()));
    });
}

std::uint64_t simulated_host::generation() const
{
    return m_generation;
}

const attempt_tracker &simulated_host::tracker() const
{
    return *m_tracker;
}

const claim_coordinator &simulated_host::coordinator() const
{
    return *m_coordinator;
}

} // namespace parsleyglade::testing
