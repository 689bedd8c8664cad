#include "control/relay_messages.h"

namespace parsleyglade {

namespace {

// Numbers and field headers of one element.
constexpr std::size_t elementOverhead = 48;

void encodeTarget(const order_target &target, wire::relay_order &encoded)
{
    encoded.executor = target.executor;
    encoded.address = target.address;
    encoded.fence = target.fence;
}

order_target decodeTarget(const wire::relay_order &encoded, time_point validUntil)
{
    return {encoded.executor, encoded.address, encoded.fence, validUntil};
}

/** The task that an order or an element of a list names. */
template <typename Element> task_id decodeTask(const Element &encoded)
{
    return {encoded.job, encoded.occurrence, encoded.step, encoded.index};
}

template <typename Element> void encodeTask(const task_id &task, Element &encoded)
{
    encoded.job = task.job;
    encoded.occurrence = task.occurrence;
    encoded.step = task.step;
    encoded.index = task.index;
}

void encodeRun(const task_id &task, int run, wire::relay_order &encoded)
{
    encodeTask(task, encoded);
    encoded.run = run;
}

order_result decodeResultCode(std::int32_t code)
{
    const bool isKnown = code >= 0 && static_cast<std::size_t>(code) < orderResultNames.size();
    return isKnown ? static_cast<order_result>(code) : order_result::unanswered;
}

run_end decodeRunEnd(std::int32_t code)
{
    const bool isKnown = code >= 0 && static_cast<std::size_t>(code) < runEndNames.size();
    return isKnown ? static_cast<run_end>(code) : run_end::failed;
}

} // namespace

void encodeOrder(const start_order &order, wire::relay_order &encoded)
{
    encoded.kind = wire::relay_order_kind::start;
    encodeTarget(order.target, encoded);
    encodeRun(order.task, order.run, encoded);
    encoded.checkpoint = order.checkpoint;
    encoded.ticket = order.ticket;
    encoded.leaseEnd = order.leaseEnd;
}

void encodeOrder(const stop_order &order, wire::relay_order &encoded)
{
    encoded.kind = wire::relay_order_kind::stop;
    encodeTarget(order.target, encoded);
    encodeRun(order.task, order.run, encoded);
    encoded.blocksLateStart = order.blocksLateStart;
}

void encodeOrder(const pace_order &order, wire::relay_order &encoded)
{
    encoded.kind = wire::relay_order_kind::pace;
    encodeTarget(order.target, encoded);
    encodeRun(order.task, order.run, encoded);
    encoded.percent = order.percent;
}

void encodeOrder(const poll_order &order, wire::relay_order &encoded)
{
    encoded.kind = wire::relay_order_kind::poll;
    encodeTarget(order.target, encoded);
    encoded.leaseEnd = order.leaseEnd.value_or(0);
    encoded.acknowledgedUpTo = order.acknowledgedUpTo;
    encoded.waitMilliseconds = static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(order.wait).count());
}

start_order decodeStart(const wire::relay_order &encoded, time_point validUntil)
{
    return {decodeTarget(encoded, validUntil), decodeTask(encoded), encoded.run, {}, encoded.checkpoint, encoded.ticket, encoded.leaseEnd};
}

stop_order decodeStop(const wire::relay_order &encoded, time_point validUntil)
{
    return {decodeTarget(encoded, validUntil), decodeTask(encoded), encoded.run, encoded.blocksLateStart};
}

pace_order decodePace(const wire::relay_order &encoded, time_point validUntil)
{
    return {decodeTarget(encoded, validUntil), decodeTask(encoded), encoded.run, encoded.percent};
}

poll_order decodePoll(const wire::relay_order &encoded, time_point validUntil)
{
    poll_order order;
    order.target = decodeTarget(encoded, validUntil);
    order.acknowledgedUpTo = encoded.acknowledgedUpTo;
    if (encoded.leaseEnd != 0) {
        order.leaseEnd = encoded.leaseEnd;
    }
    order.wait = std::chrono::milliseconds{encoded.waitMilliseconds};
    return order;
}

void encodeResult(const order_response &response, wire::relay_result &encoded)
{
    encoded.result = static_cast<std::int32_t>(response.result);
    encoded.clockMilliseconds = response.clockMilliseconds;
    encoded.reason = response.reason;
}

void encodeResult(const poll_response &response, wire::relay_result &encoded)
{
    encoded.result = static_cast<std::int32_t>(response.result);
    encoded.clockMilliseconds = response.clockMilliseconds;
    encoded.boot = response.boot;
    encoded.running.reserve(response.running.size());
    for (const running_entry &entry : response.running) {
        wire::relay_running &added = encoded.running.emplace_back();
        encodeTask(entry.task, added);
        added.run = entry.run;
        added.checkpoint = entry.checkpoint;
        added.progress = entry.progress;
        added.measured = entry.measured;
    }
    encoded.finished.reserve(response.finished.size());
    for (const finished_entry &entry : response.finished) {
        wire::relay_finished &added = encoded.finished.emplace_back();
        added.number = entry.number;
        encodeTask(entry.task, added);
        added.run = entry.run;
        added.runEnd = static_cast<std::int32_t>(entry.end);
        added.checkpoint = entry.checkpoint;
    }
}

order_response decodeOrderResponse(const wire::relay_result &encoded)
{
    return {decodeResultCode(encoded.result), encoded.clockMilliseconds, encoded.reason};
}

poll_response decodePollResponse(const wire::relay_result &encoded)
{
    poll_response response;
    response.result = decodeResultCode(encoded.result);
    response.clockMilliseconds = encoded.clockMilliseconds;
    response.boot = encoded.boot;
    response.running.reserve(encoded.running.size());
    for (const wire::relay_running &entry : encoded.running) {
        response.running.push_back({decodeTask(entry), entry.run, entry.checkpoint, entry.progress, entry.measured});
    }
    response.finished.reserve(encoded.finished.size());
    for (const wire::relay_finished &entry : encoded.finished) {
        response.finished.push_back({entry.number, decodeTask(entry), entry.run, decodeRunEnd(entry.runEnd), entry.checkpoint});
    }
    return response;
}

std::size_t encodedSize(const wire::relay_order &order)
{
    return elementOverhead + order.executor.size() + order.address.size() + order.job.size() + order.checkpoint.size() + order.ticket.size();
}

std::size_t encodedSize(const wire::relay_result &result)
{
    std::size_t size = elementOverhead + result.reason.size();
    for (const wire::relay_running &entry : result.running) {
        size += elementOverhead + entry.job.size() + entry.checkpoint.size();
    }
    for (const wire::relay_finished &entry : result.finished) {
        size += elementOverhead + entry.job.size() + entry.checkpoint.size();
    }
    return size;
}

} // namespace parsleyglade
