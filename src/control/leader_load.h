#pragma once

#include "control/relay_counters.h"
#include "core/time_types.h"
#include "runtime/processor_clock.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** Parts of the leader's work whose processor time is measured. */
enum class leader_part {
    decisions, /**< Checks of executors and placement. */
    hosts, /**< Waves and moves between pools. */
    journal, /**< Batches, and what follows their confirmation. */
    actions, /**< Start, stop and pace orders, replies to callers, log lines. */
    polls, /**< Choice and sending of polls. */
    order_responses,
    poll_responses,
    calls, /**< Submissions, queries and cancellations. */
    registry,
    relay_encoding, /**< Messages with orders for relays. */
    relay_results, /**< Results from relays, without what follows from them. */
};

/** Names of the parts, indexed by enum value. */
constexpr std::array<std::string_view, 11> leaderPartNames{"decisions",      "hosts", "journal",  "actions",        "polls",        "order-responses",
                                                           "poll-responses", "calls", "registry", "relay-encoding", "relay-results"};

constexpr std::string_view name(leader_part part)
{
    return leaderPartNames.at(static_cast<std::size_t>(part));
}

/** Sums of the leader's work since it took over. They are never limited as log lines are. */
class leader_load
{
public:
    /** Work of one part. */
    struct part_load
    {
        std::uint64_t count = 0;
        std::chrono::nanoseconds processorTime{};
    };

    /** Adds the processor time of its lifetime to a part. */
    class scope
    {
    public:
        scope(leader_load &load, leader_part part);
        scope(const scope &) = delete;
        scope &operator=(const scope &) = delete;
        ~scope();

    private:
        part_load &m_part;
        std::chrono::nanoseconds m_startedAt;
    };

    const part_load &part(leader_part part) const;

    /** Adds the time by which a round of decisions began later than it was due. */
    void addLoopDelay(duration delay);

    /** Sum of the delays of all rounds. It grows by a second each second when the event loop is always behind. */
    duration loopDelay() const;

    /** Requests to executors by the way they took. */
    relay_counters &relays();
    const relay_counters &relays() const;

private:
    std::array<part_load, leaderPartNames.size()> m_parts{};
    duration m_loopDelay{};
    relay_counters m_relays;
};

} // namespace parsleyglade
