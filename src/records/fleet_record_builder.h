#pragma once

#include "records/fleet_drain.h"
#include <parsleyglade/parsleyglade_types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

/**
 * Builds the records of the fleet stream for one writer. Call setIdentifierAndTime() before each record.
 *
 * The generic fields have the following meaning for each action:
 *  - entry_registered: subject is the entry host; epoch is the number of its registrations according to the writer's fold.
 *  - entry_retired: subject is the entry host; epoch is the retired incarnation; an operator sets author.
 *  - drain_started: detail is "host", "rack" or "data-centre"; epoch is the expected fleet_state::lastPlannedRecord, or 0 for an operator's drain.
 *  - drain_ended: epoch is the drain's identifier.
 *  - move_*: subject is the host; epoch is its move epoch; for move_started, detail is the expected fleet_state::lastPlannedRecord.
 *  - wave_*: subject is the wave; epoch is its version; detail is the plan, or the reason of a pause or abort.
 *  - wave_host_done: detail is the host.
 *  - snapshot: epoch is the snapshot's offset; subject is the digest in hexadecimal; detail is the state.
 */
class fleet_record_builder
{
public:
    /** @param writer Incarnation of the process that appends the records, or 0 for an operator's client. */
    explicit fleet_record_builder(std::int64_t writer);

    /** Sets the identifier and the wall time, in milliseconds since the Unix epoch, of the next record. The identifier must be random. */
    fleet_record_builder &setIdentifierAndTime(std::int64_t record, std::int64_t wallMilliseconds);

    wire::fleet_record registered(const std::string &entryHost, const std::string &dataCentre, const std::string &region, std::int64_t registrationCount) const;
    wire::fleet_record retired(const std::string &entryHost, std::int64_t incarnation, const std::string &author = {}) const;

    /** @param expectedPlannedRecord fleet_state::lastPlannedRecord for planned work; 0 for an operator's drain, which is based on no state. */
    wire::fleet_record drainStarted(drain_scope scope, const std::string &subject, const std::string &author, std::int64_t expectedPlannedRecord = 0) const;
    wire::fleet_record drainEnded(std::int64_t drain, const std::string &author) const;

    /** If both pools are equal, the record only assigns the pool of a host that has no record yet; the host remains in service. */
    wire::fleet_record moveStarted(const std::string &host, const std::string &dataCentre, const std::string &fromPool, const std::string &toPool,
                                   std::int64_t epoch, std::int64_t expectedPlannedRecord) const;
    wire::fleet_record moveAcknowledged(const std::string &host, std::int64_t epoch) const;
    wire::fleet_record moveJoined(const std::string &host, std::int64_t epoch) const;
    wire::fleet_record moveCancelled(const std::string &host, std::int64_t epoch) const;

    /** Plans a new wave with version 0, or replaces the plan of an open wave that has the given version. */
    wire::fleet_record wavePlanned(const std::string &wave, const std::vector<std::vector<std::string>> &batches, std::int64_t version,
                                   const std::string &author) const;

    /** Starts, pauses, resumes or aborts a wave. @param action wave_started (also to resume), wave_paused or wave_aborted */
    wire::fleet_record waveChanged(wire::fleet_action::type action, const std::string &wave, std::int64_t version, const std::string &author,
                                   const std::string &reason = {}) const;
    wire::fleet_record waveHostDone(const std::string &wave, const std::string &host) const;

private:
    wire::fleet_record make(wire::fleet_action::type action, const std::string &subject, std::int64_t epoch) const;

    std::int64_t m_writer;
    std::int64_t m_record = 0;
    std::int64_t m_wallMilliseconds = 0;
};

} // namespace parsleyglade
