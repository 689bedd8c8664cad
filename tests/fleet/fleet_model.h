#pragma once

#include "fleet/fleet.h"
#include "records/fleet_fold.h"
#include "records/fleet_record_builder.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace parsleyglade {

/** A simulated entry host process that uses the real fold, membership and planners, at its own position in the simulated log. */
struct model_entry
{
    std::string name;
    std::string dataCentre;
    std::int64_t incarnation = 0;
    fleet_fold fold;
    bool isRunning = true;
    bool isFrozen = false;
    bool isStopping = false;
    std::map<std::string, std::vector<std::string>> inFlight; /**< Pools for which jobs were sent, by endpoint. */
};

/** Number of steps, and how often each kind of event and fault occurred. */
struct model_counts
{
    std::size_t steps = 0;
    std::size_t joins = 0;
    std::size_t plannedStarts = 0;
    std::size_t copies = 0;
    std::size_t delayed = 0;
    std::size_t kills = 0;
    std::size_t freezes = 0;
    std::size_t jobs = 0;
    std::size_t drains = 0;
};

/**
 * Simulates a log and several entry hosts, whose steps are interleaved in any order with faults; the invariants are checked after each step.
 *
 * Appended records may be lost, delayed or duplicated. Entry hosts may be frozen, killed, restarted or stopped gracefully; each reads the
 * log at its own pace and may read records again. Operators start and end drains, retire entry hosts and change waves at any time.
 */
class fleet_model
{
public:
    fleet_model();

    /** Performs the step selected by the number, then checks every invariant. Throws std::runtime_error naming the violated invariant. */
    void step(std::uint32_t choice);

    /** Removes all faults and lets every entry host catch up and append what is due. Throws std::runtime_error if a move does not end. */
    void settle();

    const model_counts &counts() const
    {
        return m_counts;
    }

private:
    struct running_job
    {
        std::string endpoint;
        std::string pool;
        std::int64_t sender = 0;
    };

    void performStep(std::uint32_t choice);
    void performEntryHostStep(model_entry &entry, std::uint32_t choice);
    void performOperatorStep(std::uint32_t choice);
    void append(const wire::fleet_record &record, std::uint32_t faultChoice);
    void appendAll(const std::vector<wire::fleet_record> &records, std::uint32_t faultChoice);
    void write(const wire::fleet_record &record);
    void deliver(model_entry &entry, std::size_t maximumRecords, std::size_t rereadRecords);
    void restart(model_entry &entry, bool fromSnapshot);
    void appendDueRecords(model_entry &entry, std::uint32_t faultChoice);
    void planMoves(model_entry &entry, std::uint32_t choice);
    void runWave(model_entry &entry, std::uint32_t choice);
    void sendJob(model_entry &entry, const fleet_host &host);
    void finishJob(std::uint32_t choice);
    host_membership membershipOf(const model_entry &entry, const fleet_host &host) const;
    endpoint_observation observe(const model_entry &entry, const std::string &host) const;
    fleet_record_builder newRecord(std::int64_t incarnation);

    static void require(bool condition, const std::string &violation);
    void checkOnePool() const;
    void checkLeaving() const;
    void checkDigests() const;
    void checkBudget(const fleet_state &before, const wire::fleet_record &record);

    fleet_tables m_tables;
    fleet_health m_health;
    wave_progress m_progress;
    std::vector<std::string> m_log;
    std::vector<std::string> m_digests; /**< Digest of the reference fold, by log position. */
    std::vector<std::map<std::string, bool>> m_leaving; /**< Hosts that are moving or drained, by log position. */
    fleet_fold m_referenceFold; /**< Has applied every record of the log. */
    std::vector<model_entry> m_entries;
    std::vector<std::int64_t> m_endedIncarnations; /**< Incarnations whose process has ended. */
    std::deque<wire::fleet_record> m_delayed;
    std::vector<running_job> m_jobs;
    std::int64_t m_nextId = 1000;
    std::int64_t m_now = 1'000'000;
    model_counts m_counts;
};

} // namespace parsleyglade
