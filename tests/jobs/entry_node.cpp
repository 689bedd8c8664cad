#include "entry_node.h"

namespace parsleyglade::testing {

using namespace std::chrono_literals;

entry_node::entry_node(job_world &world, int index)
    : m_world(world)
    , m_index(index)
{
    begin();
}

void entry_node::begin()
{
    coordinator_settings settings = m_world.settings();
    settings.writer = m_incarnation = incarnation_id{static_cast<std::int64_t>(m_world.random().engine()())};
    m_coordinator = std::make_unique<claim_coordinator>(settings, m_world.random().engine()());
    m_ledger = std::make_unique<dispatch_ledger>(ledger_settings{.incarnation = m_incarnation, .maximumAttempts = 500}, m_world.random().engine()());
    m_requests.clear();
    m_replies.clear();
    m_acknowledgements.clear();
    m_wakeAt.reset();
    post(0ms, [this] { setView(m_view); });
    post(1ms, [this] { sendReports(); });
    post(1ms, [this] { sendHeartbeat(); });
}

void entry_node::post(duration delay, std::function<void()> event)
{
    m_world.events().after(delay, [this, life = m_life, event = std::move(event)] {
        if (life != m_life) {
            return;
        }
        if (m_isFrozen) {
            m_backlog.push_back(event);
            return;
        }
        event();
    });
}

void entry_node::kill()
{
    ++m_life;
    m_isFrozen = false;
    m_backlog.clear();
    begin();
}

void entry_node::freeze(duration time)
{
    if (!m_isFrozen) {
        m_isFrozen = true;
        m_world.events().after(time, [this, life = m_life] {
            if (life == m_life) {
                resume();
            }
        });
    }
}

void entry_node::resume()
{
    m_isFrozen = false;
    for (const auto &event : std::exchange(m_backlog, {})) {
        event();
    }
}

void entry_node::jumpClock(std::chrono::milliseconds offset)
{
    m_clockOffset = offset;
}

void entry_node::setView(int coordinator)
{
    m_view = coordinator;
    perform(m_view == m_index ? m_coordinator->start(at()) : m_coordinator->stop(at()));
}

moment entry_node::at() const
{
    const auto now = m_world.events().now();
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    return {now, wall_time{std::chrono::milliseconds{baseMilliseconds} + elapsed + m_clockOffset}};
}

void entry_node::submit(std::size_t request)
{
    job_to_claim job;
    job.identity = m_world.identityOf(request);
    job.fingerprint = m_world.request(request).fingerprint;
    job.wait = std::chrono::milliseconds{m_world.random().below(3) * 700};
    const auto begun = m_ledger->begin(job);
    if (!begun) {
        return;
    }

    const attempt_id attempt{begun->claim.attempt};
    m_requests[attempt] = request;
    askCoordinator(attempt, *begun);
    post(500ms + m_world.random().upTo(4s),
         [this, attempt] { decided(attempt, m_ledger->abandon(attempt, result_code::deadline_unreachable, at().now), nullptr); });
}

void entry_node::cancel(const claim_identity &identity)
{
    const cancel_decision decision = m_ledger->cancel(identity, at().now);
    for (const attempt_id attempt : decision.ended) {
        // Whether the log had decided isn't known here, so the oracle takes the answer as provisional.
        decided(attempt, {job_answer::not_run, job_action::none, result_code::cancelled, true}, nullptr);
    }
}

void entry_node::askCoordinator(attempt_id attempt, const wire::claim_request &request)
{
    m_world.send(m_index, m_view, [from = m_index, attempt, request](entry_node &to) { to.receiveClaim(from, attempt, request); });
    post(300ms + m_world.random().upTo(400ms), [this, attempt] { repeatClaim(attempt); });
}

void entry_node::repeatClaim(attempt_id attempt)
{
    if (const auto request = m_ledger->repeatRequest(attempt)) {
        askCoordinator(attempt, *request);
    }
}

void entry_node::receiveClaim(int from, attempt_id attempt, const wire::claim_request &request)
{
    const reply_handle handle{m_nextHandle++};
    m_replies[handle] = [this, from, attempt](const wire::claim_reply &reply) {
        m_world.send(m_index, from, [attempt, reply](entry_node &to) { to.receiveReply(attempt, reply); });
    };
    perform(m_coordinator->request(handle, request, at()));
}

void entry_node::receiveReply(attempt_id attempt, const wire::claim_reply &reply)
{
    decided(attempt, m_ledger->claimAnswered(attempt, reply, at().now), reply.__isset.answer ? &reply.answer : nullptr);
}

void entry_node::receiveReport(int from, const wire::result_report &report)
{
    const reply_handle handle{m_nextHandle++};
    m_acknowledgements[handle] = [this, from, entry = report.result](bool isRecorded) {
        m_world.send(m_index, from, [entry, isRecorded](entry_node &to) { to.m_ledger->reportAnswered(entry, isRecorded); });
    };
    perform(m_coordinator->report(handle, report, at()));
}

void entry_node::receiveHeartbeat(incarnation_id dispatcher)
{
    m_coordinator->heard(dispatcher, at());
}

void entry_node::query(const claim_identity &identity, std::function<void(const wire::claim_reply &)> done)
{
    wire::claim_request request;
    request.claim.key = identity.key.bytes();
    request.claim.caller = static_cast<std::int64_t>(identity.caller);
    request.queryOnly = true;
    const reply_handle handle{m_nextHandle++};
    m_replies[handle] = std::move(done);
    perform(m_coordinator->request(handle, request, at()));
}

void entry_node::decided(attempt_id attempt, const ledger_decision &decision, const wire::kept_answer *answer)
{
    if (decision.action == job_action::send) {
        const duration queueing = m_world.random().oneIn(10) ? 3s : 30ms;
        post(m_world.random().upTo(queueing), [this, attempt] { sendJob(attempt); });
    }
    if (decision.action == job_action::send_again) {
        if (m_world.random().oneIn(2)) {
            sendJob(attempt);
        } else {
            decided(attempt, m_ledger->abandon(attempt, result_code::endpoint_refused, at().now), nullptr);
        }
    }
    if (decision.answer != job_answer::none && m_requests.contains(attempt)) {
        m_world.answered(m_requests.at(attempt), attempt, decision, answer);
    }
}

void entry_node::sendJob(attempt_id attempt)
{
    if (m_ledger->startSend(attempt)) {
        // A freeze may fall between the check and the send.
        post(m_world.random().upTo(2ms), [this, attempt] { contactEndpoint(attempt); });
    }
}

void entry_node::contactEndpoint(attempt_id attempt)
{
    const std::size_t request = m_requests.at(attempt);
    const std::uint64_t choice = m_world.random().below(10);
    const duration runTime = m_world.random().upTo(m_world.random().oneIn(20) ? duration{6s} : duration{300ms});
    const bool isStarted = choice > 1;
    if (isStarted) {
        m_world.events().after(1ms, [&world = m_world, attempt, request] { world.execute(attempt, request); });
    }

    post(2ms + runTime, [this, attempt, request, choice] {
        send_outcome outcome = send_not_started{};
        wire::kept_answer answer;
        if (choice == 1 || choice == 2) {
            outcome = send_lost{};
        } else if (choice > 2) {
            answer.httpStatus = 200;
            answer.body = m_world.bodyOf(request, attempt);
            outcome = whole_answer{answer};
        }
        decided(attempt, m_ledger->sendEnded(attempt, outcome, at().now), &answer);
    });
}

void entry_node::sendReports()
{
    for (const wire::result_report &report : m_ledger->dueReports(at().now, 50)) {
        m_world.send(m_index, m_view, [from = m_index, report](entry_node &to) { to.receiveReport(from, report); });
    }
    post(100ms, [this] { sendReports(); });
}

void entry_node::sendHeartbeat()
{
    for (int other = 0; other < job_world::nodeCount; ++other) {
        m_world.send(m_index, other, [dispatcher = m_incarnation](entry_node &to) { to.receiveHeartbeat(dispatcher); });
    }
    post(500ms, [this] { sendHeartbeat(); });
}

void entry_node::perform(const coordinator_actions &actions)
{
    for (const coordinator_action &action : actions) {
        std::visit([this](const auto &item) { performAction(item); }, action);
    }
    scheduleWake();
}

void entry_node::performAction(const append_action &action)
{
    const auto answer = [this, life = m_life](const append_answer &result) {
        if (life == m_life) {
            const append_answer heard = m_world.canHearLog(m_index) ? result : append_answer{};
            post(0ms, [this, heard] { perform(m_coordinator->appended(heard, at())); });
        }
    };
    if (m_world.canReachLog(m_index)) {
        m_world.log().append(action.payload, answer);
    } else {
        m_world.events().after(300ms, [answer] { answer(append_answer{}); });
    }
}

void entry_node::performAction(const read_action &action)
{
    const auto answer = [this, life = m_life](const read_answer &result) {
        if (life == m_life) {
            const read_answer heard = m_world.canHearLog(m_index) ? result : read_answer{};
            post(0ms, [this, heard] { perform(m_coordinator->readEnded(heard, at())); });
        }
    };
    if (m_world.canReachLog(m_index)) {
        m_world.log().read(action.from, action.maximumRecords, answer);
    } else {
        m_world.events().after(300ms, [answer] { answer(read_answer{}); });
    }
}

void entry_node::performAction(const reply_action &action)
{
    const auto node = m_replies.extract(action.handle);
    node.mapped()(action.reply);
}

void entry_node::performAction(const acknowledge_action &action)
{
    const auto node = m_acknowledgements.extract(action.handle);
    node.mapped()(action.isRecorded);
}

void entry_node::scheduleWake()
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

std::uint64_t entry_node::life() const
{
    return m_life;
}

const dispatch_ledger &entry_node::ledger() const
{
    return *m_ledger;
}

const claim_coordinator &entry_node::coordinator() const
{
    return *m_coordinator;
}

} // namespace parsleyglade::testing
