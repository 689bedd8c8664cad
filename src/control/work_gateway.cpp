#include "control/work_gateway.h"

namespace parsleyglade {

namespace {

// When there was no leader for this long, calls fail at once instead of waiting for their deadline.
constexpr duration failFastSilence = std::chrono::seconds{4};

} // namespace

namespace {

std::string kindName(wire::work_call_kind::type kind)
{
    switch (kind) {
    case wire::work_call_kind::submit:
        return "submit";
    case wire::work_call_kind::query:
        return "query";
    case wire::work_call_kind::cancel:
        return "cancel";
    case wire::work_call_kind::count_pending:
        return "count-pending";
    }
    return "other";
}

std::string outcomeName(const work_gateway::result &result)
{
    if (result.delivery != work_gateway::delivery_status::responded) {
        return result.delivery == work_gateway::delivery_status::unknown ? "unknown" : "not-reached";
    }
    switch (result.reply.verdict) {
    case wire::work_verdict::done:
        return "done";
    case wire::work_verdict::not_found:
        return "not-found";
    case wire::work_verdict::refused:
        return "refused";
    case wire::work_verdict::no_such_queue:
        return "no-such-queue";
    case wire::work_verdict::invalid:
        return "invalid";
    case wire::work_verdict::not_authenticated:
        return "not-authenticated";
    default:
        return "other";
    }
}

} // namespace

/** A call in flight. Kept alive by the callbacks of its timers and requests. */
struct work_gateway::pending_call
{
    wire::work_call call;
    time_point startedAt{};
    time_point deadline{};
    std::function<void(const result &)> done;
    bool mayHaveBeenReceived = false;
    bool isAwaitingReply = false; /**< An attempt is in flight. */
    int attempts = 0;
    timer_subscription retryTimer;
    timer_subscription deadlineTimer;
};

work_gateway::work_gateway(event_loop &loop, leadership_task &leadership, const control_settings &settings)
    : m_loop(loop)
    , m_leadership(leadership)
    , m_settings(settings)
{
}

void work_gateway::send(const wire::work_call &call, time_point deadline, std::function<void(const result &)> done)
{
    const auto current = std::make_shared<pending_call>();
    current->call = call;
    current->startedAt = m_loop.now();
    current->deadline = deadline;
    current->done = std::move(done);
    current->deadlineTimer = m_loop.after(std::max(deadline - m_loop.now(), duration::zero()), [this, current] {
        const bool isUnknown = current->mayHaveBeenReceived || current->isAwaitingReply;
        finish(current, {isUnknown ? delivery_status::unknown : delivery_status::not_reached, {}, "the leader did not reply before the deadline"});
    });
    attempt(current);
}

void work_gateway::attempt(const std::shared_ptr<pending_call> &current)
{
    if (!current->done) {
        return;
    }
    if (!m_leadership.isConnected()) {
        if (m_leadership.silence() > failFastSilence && !current->mayHaveBeenReceived) {
            finish(current, {delivery_status::not_reached, {}, "no leader can be reached"});
            return;
        }
        current->retryTimer = m_loop.after(m_settings.callRetryDelay, [this, current] { attempt(current); });
        return;
    }

    // The callback does not run when the connection to the leader is replaced, so a timer retries the call.
    current->retryTimer = m_loop.after(m_settings.callTimeout + m_settings.callRetryDelay, [this, current] {
        current->mayHaveBeenReceived = true;
        attempt(current);
    });
    const int number = ++current->attempts;
    current->isAwaitingReply = true;
    m_leadership.call(current->call, m_settings.callTimeout,
                      [this, current, number](const outcome<wire::work_reply> &reply) { handleReply(current, number, reply); });
}

void work_gateway::handleReply(const std::shared_ptr<pending_call> &current, int number, const outcome<wire::work_reply> &reply)
{
    if (!current->done) {
        return;
    }
    const bool wasNotAccepted = reply && reply->verdict == wire::work_verdict::not_leading;
    if (reply && !wasNotAccepted && reply->verdict != wire::work_verdict::undecided) {
        finish(current, {delivery_status::responded, *reply, {}});
        return;
    }
    current->mayHaveBeenReceived = current->mayHaveBeenReceived || !wasNotAccepted;
    if (number != current->attempts) {
        return; // a later attempt is in flight
    }
    current->isAwaitingReply = false;
    current->retryTimer = m_loop.after(m_settings.callRetryDelay, [this, current] { attempt(current); });
}

void work_gateway::finish(const std::shared_ptr<pending_call> &current, const result &callResult)
{
    const auto done = std::exchange(current->done, nullptr);
    current->retryTimer.cancel();
    current->deadlineTimer.cancel();
    if (done) {
        m_leadership.metrics().countCall(kindName(current->call.kind), outcomeName(callResult), m_loop.now() - current->startedAt);
        done(callResult);
    }
}

} // namespace parsleyglade
