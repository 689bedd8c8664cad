#include "recovery_run.h"

#include "jobs/jobs.h"

#include <algorithm>
#include <chrono>
#include <malloc.h>
#include <memory>
#include <random>

namespace parsleyglade::measure {

namespace {

constexpr std::int64_t wallStart = 1'800'000'000'000;
constexpr std::size_t entriesPerRecord = 16;
constexpr std::size_t recordsPerRead = 1'000;

// Other processes on the machine only add to real times, so the least of several runs is used.
constexpr int runsPerMeasurement = 3;

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

template <typename Work> double measureMilliseconds(const Work &work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

/** Creates the records of a stream in which every job was claimed and completed. */
std::vector<std::string> makeStream(std::size_t claims)
{
    std::mt19937_64 random(1);
    std::vector<std::string> records;
    for (std::size_t written = 0; written < claims; written += entriesPerRecord) {
        wire::claim_batch claimed;
        wire::claim_batch completed;
        for (std::size_t entry = 0; entry < std::min(entriesPerRecord, claims - written); ++entry) {
            const auto created = wallStart + static_cast<std::int64_t>(written + entry);
            wire::claim_entry claim;
            claim.key = job_key::generate(wall_time{std::chrono::milliseconds{created}}, random).bytes();
            claim.caller = static_cast<std::int64_t>(random());
            claim.fingerprint = static_cast<std::int64_t>(random());
            claim.dispatcher = static_cast<std::int64_t>(random());
            claim.attempt = static_cast<std::int64_t>(random());
            claimed.claims.push_back(claim);

            wire::result_entry result;
            result.key = claim.key;
            result.caller = claim.caller;
            result.attempt = claim.attempt;
            result.result = wire::job_result::completed;
            result.httpStatus = 200;
            completed.results.push_back(result);
        }
        records.push_back(encode(claimed));
        records.push_back(encode(completed));
    }
    return records;
}

std::vector<std::string> makeSnapshotRecords(const std::vector<std::string> &parts)
{
    std::vector<std::string> records;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        wire::claim_batch batch;
        wire::snapshot_chunk chunk;
        chunk.snapshot = 1;
        chunk.index = static_cast<std::int32_t>(index);
        chunk.count = static_cast<std::int32_t>(parts.size());
        chunk.checksum = snapshotChecksum(parts);
        chunk.part = parts[index];
        batch.__set_snapshot(chunk);
        records.push_back(encode(batch));
    }
    return records;
}

/** Starts an empty coordinator and supplies it with the records until it has caught up. The records before firstOffset count as trimmed. */
std::unique_ptr<claim_coordinator> recover(const std::vector<std::string> &records, log_offset firstOffset)
{
    auto coordinator = std::make_unique<claim_coordinator>(coordinator_settings{}, 1);
    const clock_reading now{time_point{std::chrono::hours{1}}, wall_time{std::chrono::milliseconds{wallStart}}};
    coordinator_actions actions = coordinator->start(now);
    while (!coordinator->status().isCaughtUp) {
        const auto &read = std::get<read_action>(actions.front());
        read_response response{read.from < firstOffset ? read_response::kind::trimmed : read_response::kind::ok, {}, firstOffset, firstOffset + records.size()};
        for (log_offset offset = read.from; offset >= firstOffset && offset < response.head && response.records.size() < recordsPerRead; ++offset) {
            response.records.push_back({offset, records[offset - firstOffset]});
        }
        actions = coordinator->readCompleted(response, now);
    }
    return coordinator;
}

} // namespace

namespace {

recovery_result measureOnce(std::size_t claims)
{
    recovery_result result;
    result.claims = claims;
    const auto records = makeStream(claims);
    result.records = records.size();

    const double before = heapBytes();
    std::unique_ptr<claim_coordinator> coordinator;
    result.replayMilliseconds = measureMilliseconds([&] { coordinator = recover(records, 0); });
    result.memoryBytes = heapBytes() - before;

    std::vector<std::string> parts;
    result.encodeMilliseconds = measureMilliseconds([&] { parts = coordinator->fold().snapshotParts(coordinator_settings{}.snapshotChunkEntries); });
    for (const std::string &part : parts) {
        result.snapshotBytes += static_cast<double>(part.size());
    }

    const auto chunks = makeSnapshotRecords(parts);
    result.snapshotMilliseconds = measureMilliseconds([&] { coordinator = recover(chunks, records.size()); });
    return result;
}

} // namespace

recovery_result measureRecovery(std::size_t claims)
{
    recovery_result least = measureOnce(claims);
    for (int repeat = 1; repeat < runsPerMeasurement; ++repeat) {
        const recovery_result next = measureOnce(claims);
        least.replayMilliseconds = std::min(least.replayMilliseconds, next.replayMilliseconds);
        least.snapshotMilliseconds = std::min(least.snapshotMilliseconds, next.snapshotMilliseconds);
        least.encodeMilliseconds = std::min(least.encodeMilliseconds, next.encodeMilliseconds);
    }
    return least;
}

linear_fit fitLine(const std::vector<double> &claims, const std::vector<double> &values)
{
    const auto count = static_cast<double>(claims.size());
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (std::size_t index = 0; index < claims.size(); ++index) {
        sumX += claims[index];
        sumY += values[index];
        sumXX += claims[index] * claims[index];
        sumXY += claims[index] * values[index];
    }
    const double perClaim = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
    return {perClaim, (sumY - perClaim * sumX) / count};
}

} // namespace parsleyglade::measure
