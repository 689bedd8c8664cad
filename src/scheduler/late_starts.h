#pragma once

#include "core/time_types.h"
#include "scheduler/run_key.h"

#include <functional>
#include <optional>
#include <vector>

namespace parsleyglade {

/** A start order that got no response, or had none when a new boot became known. A later boot of the executor may still carry it out until it expires. */
struct late_start
{
    run_key run;
    time_point until{}; /**< The order can no longer be carried out after this time. */
    bool isBlocked = true; /**< The current boot rejects the order: it is the boot that the order was sent to, or it has confirmed a stop of the run. */
    time_point stopSentAt{}; /**< When a stop order for the run was last sent. */
    bool isPending = false; /**< The order may still get its response, which shows that it can't be carried out later. */
};

/**
 * The start orders to one executor that have no response yet, and those that may still be carried out although they got none.
 *
 * Such an order is carried out by the boot that is up when it arrives. A boot rejects it if it has had the run or has confirmed a stop of it; a later boot
 * knows of neither, and its clock starts anew, so that no deadline in the order protects it. Once a run is over, the scheduler therefore goes on sending
 * stops of it until no order to start it can be carried out any more, so that a new boot hears one within the interval between them.
 * Times are those of the leader's steady clock. The class does no I/O and has no clock.
 */
class late_starts
{
public:
    /** Notes that a start order is sent. @param until when it can no longer be carried out, unless it gets a response before */
    void addSent(const run_key &run, time_point until);

    /** Adds an order whose outcome is not known, because an earlier leader has sent it. */
    void addRestored(const run_key &run, time_point until);

    /** Notes the response to a start order. Returns when the order would have expired if it counted as one that may be late, otherwise nothing. */
    std::optional<time_point> settle(const run_key &run);

    /** Notes that a start order got no response. One that was certainly carried out does not count. @param isBlocked whether the current boot is the one that
        the order was sent to */
    void settleUnanswered(const run_key &run, time_point until, bool isBlocked);

    /** Notes that a new boot has become known, which has confirmed no stop. Orders without a response count as late from now on: waiting for their
        responses would be too late, because the tasks may be started again once the new boot has confirmed the stops. */
    void startNewBoot();

    /** Notes that the current boot has confirmed a stop of the run. Returns whether it might have carried out an order to start it before. */
    bool confirmStop(const run_key &run);

    /** Notes that a boot that has no name yet is up, which has confirmed no stop. Orders without a response remain so: that boot may be about to respond. */
    void unblock();

    /** Notes that an order was certainly carried out, so that it can't be carried out later. @pre it was the only one to start the run */
    void removeCarriedOut(const run_key &run);

    /** Notes that the run was given up or has ended. An order that has no response yet then counts as one that may be late. */
    void giveUp(const run_key &run);

    /** Returns the runs whose stop is to be sent now. The executor may start again at any moment, and must hear the stops before an order arrives, so one of
        them is sent each time that the interval has passed; its response shows a new boot. A boot that has not confirmed a stop yet gets all of them.
        @param isOver whether a run is to be alive no more; there are no stops for others */
    std::vector<run_key> takeStops(time_point now, duration interval, const std::function<bool(const run_key &)> &isOver);

    /** Makes the next stop due at once, because the last one got no response, perhaps from a boot that is no longer up. */
    void hastenStop();

    /** Removes the orders that can no longer be carried out. */
    void removeExpired(time_point now);

    /** Returns until when an order to start the run may be carried out, with or without a response to come; nothing if there is no such order. */
    std::optional<time_point> findExpiry(const run_key &run) const;

    /** Whether a start order may still get a response. */
    bool awaitsResponse() const;

    /** Whether no order may be carried out late. Orders that were just sent and await their response do not count. */
    bool isEmpty() const;

    /** The orders that may be carried out late. */
    const std::vector<late_start> &orders() const;

private:
    void noteStopSent(const run_key &run, time_point now);

    /** A start order that has no response yet. */
    struct awaited_start
    {
        run_key run;
        time_point until{};
    };

    std::vector<awaited_start> m_awaited;
    std::vector<late_start> m_orders;
    time_point m_stopSentAt{}; /**< Of any run. */
};

} // namespace parsleyglade
