#pragma once

#include "event_queue.h"
#include "jobs/claim_fold.h"
#include "jobs/coordinator_action.h"

#include <string>
#include <vector>

namespace parsleyglade::testing {

/** A simulated stream of the platform's log with injected faults. Offsets are contiguous; every other guarantee may be violated. */
class simulated_log
{
public:
    /** Probabilities of the faults, each as one in the given number; 0 means never. */
    struct faults
    {
        std::uint64_t lostResponse = 0;
        std::uint64_t lateAppend = 0;
        std::uint64_t duplicate = 0;
        std::uint64_t refusal = 0;
        std::uint64_t corruption = 0;
        std::uint64_t staleRead = 0;
        duration latency = std::chrono::milliseconds{4};
    };

    simulated_log(event_queue &events, trial_random &random)
        : m_events(events)
        , m_random(random)
    {
    }

    void append(const std::string &payload, std::function<void(append_response)> done);
    void read(log_offset from, std::size_t maximumRecords, const std::function<void(read_response)> &done);

    /** Removes the records that are covered by the newest complete snapshot. */
    void trim();

    faults &settings()
    {
        return m_faults;
    }

    void setDown(bool isDown)
    {
        m_isDown = isDown;
    }

    /** Reference fold of all stored records, which is not affected by faults. */
    const claim_fold &reference() const
    {
        return m_reference;
    }

    std::size_t size() const
    {
        return m_records.size();
    }

private:
    bool isDrawn(std::uint64_t oneIn)
    {
        return oneIn != 0 && m_random.oneIn(oneIn);
    }

    log_offset store(const std::string &payload);

    event_queue &m_events;
    trial_random &m_random;
    faults m_faults;
    std::vector<std::string> m_records;
    log_offset m_earliest = 0;
    claim_fold m_reference;
    bool m_isDown = false;
};

} // namespace parsleyglade::testing
