#pragma once

#include "jobs/stream_reader.h"

#include <string>
#include <vector>

namespace parsleyglade::testing {

/** Start of the simulated wall clock, in milliseconds since the epoch. */
constexpr std::int64_t baseMilliseconds = 1'800'000'000'000;

/** Creates the key of a number, created the given time after baseMilliseconds. Equal arguments give equal keys. */
inline job_key keyOf(int number, std::int64_t millisecondsAfterBase = 0)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(number));
    return job_key::generate(wall_time{std::chrono::milliseconds{baseMilliseconds + millisecondsAfterBase}}, random);
}

/** Builds a batch of a claim stream. */
class claim_builder
{
public:
    claim_builder &claim(const job_key &key, std::int64_t attempt, std::int64_t fingerprint = 5, std::int64_t caller = 1)
    {
        wire::claim_entry entry;
        entry.key = key.bytes();
        entry.caller = caller;
        entry.fingerprint = fingerprint;
        entry.dispatcher = 100 + attempt;
        entry.attempt = attempt;
        m_batch.claims.push_back(entry);
        return *this;
    }

    claim_builder &result(const job_key &key, std::int64_t attempt, wire::job_result::type result, std::int64_t caller = 1)
    {
        wire::result_entry entry;
        entry.key = key.bytes();
        entry.caller = caller;
        entry.attempt = attempt;
        entry.result = result;
        entry.httpStatus = result == wire::job_result::completed ? 200 : 0;
        m_batch.results.push_back(entry);
        return *this;
    }

    claim_builder &horizon(std::int64_t millisecondsAfterBase)
    {
        m_batch.horizonMilliseconds = baseMilliseconds + millisecondsAfterBase;
        return *this;
    }

    claim_builder &chunk(const wire::snapshot_chunk &chunk)
    {
        m_batch.__set_snapshot(chunk);
        return *this;
    }

    std::string bytes() const
    {
        return encode(m_batch);
    }

private:
    wire::claim_batch m_batch;
};

/** Returns the records that contain the chunks of a fold's snapshot. */
inline std::vector<std::string> snapshotRecords(const claim_fold &fold, std::int64_t identifier, std::size_t entriesEach)
{
    const auto parts = fold.snapshotParts(entriesEach);
    std::vector<std::string> records;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        wire::snapshot_chunk chunk;
        chunk.snapshot = identifier;
        chunk.index = static_cast<std::int32_t>(index);
        chunk.count = static_cast<std::int32_t>(parts.size());
        chunk.checksum = snapshotChecksum(parts);
        chunk.part = parts[index];
        records.push_back(claim_builder().chunk(chunk).bytes());
    }
    return records;
}

} // namespace parsleyglade::testing
