#include "core/core.h"
#include "records/records.h"
#include "tables/tables.h"
#include "wire/wire.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck/catch.h>

using namespace parsleyglade;

namespace {

const std::string emptyRoutes = R"({"routes":[]})";

/** Returns a valid pools table that differs for each argument. */
std::string poolsWith(int connectionsPerHost)
{
    return R"({"pools":[{"name":"lathe","service":"lathe","region":"north","spare":false,"availabilityObjective":0.99,"minimumHosts":1,"slotsPerHost":8,)"
           R"("connectionsPerHost":)"
        + std::to_string(connectionsPerHost)
        + R"(,"longJobSlotShare":0.5,"team":"lathe","hosts":[{"host":"lathe-01","dataCentre":"east","rack":"east-r1","address":"127.0.0.1:9101"}]}]})";
}

std::string proposalRecord(revision_number base, std::int64_t id, const std::string &pools, const std::string &author = "lan")
{
    wire::table_proposal proposal;
    proposal.baseRevision = static_cast<std::int64_t>(base);
    proposal.routes = emptyRoutes;
    proposal.pools = pools;
    proposal.author = author;
    proposal.proposal = id;
    wire::configuration_record record;
    record.__set_proposal(proposal);
    return encode(record);
}

/**
 * Returns a random number from 0 to limit - 1. RapidCheck supplies only the seed: its own ranges initially generate nothing but the lower
 * bound, with which some loops would never end.
 */
std::size_t randomBelow(std::mt19937_64 &random, std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
}

std::string randomBytes(std::mt19937_64 &random)
{
    std::string bytes(randomBelow(random, 200), '\0');
    std::generate(bytes.begin(), bytes.end(), [&random] { return static_cast<char>(randomBelow(random, 256)); });
    return bytes;
}

/** A log of random records, and a reference fold that has applied each of them once and in order. */
struct random_log
{
    std::vector<std::string> records;
    configuration_fold reference;

    void add(std::string bytes)
    {
        reference.apply(records.size(), bytes);
        records.push_back(std::move(bytes));
    }

    static random_log generate(std::mt19937_64 &random)
    {
        random_log log;
        std::string staleSnapshot = log.reference.makeSnapshot();
        const std::size_t count = 1 + randomBelow(random, 40);
        for (std::size_t index = 0; index < count; ++index) {
            const auto id = static_cast<std::int64_t>(index);
            const revision_number base = log.reference.revision();
            const int connections = 1 + static_cast<int>(randomBelow(random, 4000));
            switch (randomBelow(random, 8)) {
            case 0:
            case 1:
            case 2:
                log.add(proposalRecord(base, id, poolsWith(connections)));
                break;
            case 3:
                log.add(proposalRecord(base + randomBelow(random, 3), id, poolsWith(connections)));
                break;
            case 4:
                log.add(proposalRecord(base, id, "{}"));
                break;
            case 5:
                log.add(log.reference.makeSnapshot());
                break;
            case 6:
                log.add(staleSnapshot);
                staleSnapshot = log.reference.makeSnapshot();
                break;
            default:
                log.add(randomBytes(random));
                break;
            }
        }
        return log;
    }
};

void checkEqual(const configuration_fold &fold, const configuration_fold &reference)
{
    RC_ASSERT(fold.digest() == reference.digest());
    RC_ASSERT(fold.revision() == reference.revision());
    RC_ASSERT(fold.nextOffset() == reference.nextOffset());
    RC_ASSERT(*fold.current() == *reference.current());
}

} // namespace

// Guards against reporting a result to a publisher that differs from the decision about its proposal.
TEST_CASE("each proposal has a result that states why it was refused")
{
    configuration_fold fold;
    CHECK(fold.apply(0, proposalRecord(0, 11, poolsWith(1))) == configuration_fold_status::accepted);
    CHECK(fold.apply(1, proposalRecord(0, 12, poolsWith(2))) == configuration_fold_status::refused);
    CHECK(fold.apply(2, proposalRecord(1, 13, "{}")) == configuration_fold_status::refused);
    CHECK(fold.apply(3, proposalRecord(1, 14, poolsWith(3), "lan\n")) == configuration_fold_status::refused);
    CHECK(fold.apply(4, proposalRecord(1, 15, poolsWith(3), "l\xff")) == configuration_fold_status::refused);
    CHECK(fold.apply(5, proposalRecord(1, 16, poolsWith(4), "Phạm Thị Lan")) == configuration_fold_status::accepted);

    CHECK(fold.revision() == 2);
    CHECK(fold.resultOf(11) == proposal_result{true, 0, 1, {}});
    REQUIRE(fold.resultOf(12).has_value());
    CHECK_FALSE(fold.resultOf(12)->accepted);
    CHECK(fold.resultOf(12)->failures[0].code == result_code::revision_conflict);
    CHECK(fold.resultOf(13)->failures[0].code == result_code::missing_key);
    CHECK(fold.resultOf(13)->failures[0].pointer == "/pools");
    CHECK(fold.resultOf(14)->failures[0].pointer == "/author");
    CHECK(fold.resultOf(15)->failures[0].pointer == "/author");
    CHECK(fold.resultOf(16) == proposal_result{true, 5, 2, {}});
    CHECK_FALSE(fold.resultOf(17).has_value());
}

// Guards against reporting an accepted proposal as refused when its publisher received no response and appended it a second time.
TEST_CASE("a proposal that is appended twice is accepted once and its result remains accepted")
{
    configuration_fold fold;
    fold.apply(0, proposalRecord(0, 11, poolsWith(1)));
    CHECK(fold.apply(1, proposalRecord(0, 11, poolsWith(1))) == configuration_fold_status::refused);
    CHECK(fold.revision() == 1);
    CHECK(fold.resultOf(11) == proposal_result{true, 0, 1, {}});
}

// Guards against memory use that grows with the number of proposals.
TEST_CASE("the oldest results are removed when the maximum number is exceeded")
{
    configuration_fold fold;
    for (std::size_t index = 0; index <= configuration_fold::maximumResults; ++index) {
        fold.apply(index, proposalRecord(99, static_cast<std::int64_t>(index), "{}"));
    }
    CHECK_FALSE(fold.resultOf(0).has_value());
    CHECK(fold.resultOf(1).has_value());
}

// Guards against a fold that stops at a corrupt record or applies it.
TEST_CASE("corrupt records are skipped and counted")
{
    configuration_fold fold;
    CHECK(fold.apply(0, "") == configuration_fold_status::skipped);
    CHECK(fold.apply(1, "junk") == configuration_fold_status::skipped);
    CHECK(fold.apply(2, encode(wire::configuration_record())) == configuration_fold_status::skipped);
    CHECK(fold.apply(3, proposalRecord(0, 1, std::string(configuration_fold::maximumRecordBytes, ' '))) == configuration_fold_status::skipped);
    CHECK(fold.apply(4, proposalRecord(0, 2, poolsWith(1)) + "x") == configuration_fold_status::skipped);
    CHECK(fold.counters().skipped == 5);
    CHECK(fold.counters().lastSkipped == 4);
    CHECK(fold.apply(5, proposalRecord(0, 3, poolsWith(1))) == configuration_fold_status::accepted);
}

// Guards against a reader of a trimmed stream that starts from a corrupt snapshot, or without any snapshot.
TEST_CASE("a fold does not start from a corrupt snapshot but from the previous one")
{
    random_log log;
    log.add(proposalRecord(0, 1, poolsWith(1)));
    log.add(log.reference.makeSnapshot());
    log.add(proposalRecord(1, 2, poolsWith(2)));
    std::string damaged = log.reference.makeSnapshot();
    damaged[damaged.size() / 2] ^= 1;
    log.add(damaged);
    log.add(proposalRecord(2, 3, poolsWith(3)));
    CHECK(log.reference.lastSnapshotOffset() == 1);

    configuration_fold fold;
    CHECK(fold.apply(1, log.records[1]) == configuration_fold_status::started);
    CHECK(fold.revision() == 1);
    for (log_offset offset = 2; offset < log.records.size(); ++offset) {
        fold.apply(offset, log.records[offset]);
    }
    CHECK(fold.revision() == 3);
    CHECK(fold.digest() == log.reference.digest());

    configuration_fold lateReader;
    CHECK(lateReader.apply(3, log.records[3]) == configuration_fold_status::gap);
    CHECK(lateReader.apply(4, log.records[4]) == configuration_fold_status::gap);
    CHECK(lateReader.revision() == 0);
    CHECK(lateReader.nextOffset() == 0);
}

// Guards against a fold that starts from a snapshot which lacks a proposal that was appended before it.
TEST_CASE("no fold starts from a snapshot that was appended after a newer proposal")
{
    random_log log;
    log.add(proposalRecord(0, 1, poolsWith(1)));
    const std::string staleSnapshot = log.reference.makeSnapshot();
    log.add(proposalRecord(1, 2, poolsWith(2)));
    CHECK(log.reference.apply(2, staleSnapshot) == configuration_fold_status::stale);
    CHECK(log.reference.counters().staleSnapshots == 1);

    configuration_fold fold;
    CHECK(fold.apply(2, staleSnapshot) == configuration_fold_status::gap);
}

// Guards against a reader that continues without records that retention has removed, or returns to an older revision.
TEST_CASE("after a gap only a snapshot of the same or a newer revision is accepted")
{
    random_log log;
    log.add(proposalRecord(0, 1, poolsWith(1)));
    log.add(proposalRecord(1, 2, poolsWith(2)));
    log.add(log.reference.makeSnapshot());

    configuration_fold fold;
    fold.apply(0, log.records[0]);
    CHECK(fold.apply(5, proposalRecord(1, 9, poolsWith(9))) == configuration_fold_status::gap);
    CHECK(fold.apply(2, log.records[2]) == configuration_fold_status::started);
    CHECK(fold.revision() == 2);

    configuration_fold other;
    other.apply(0, proposalRecord(0, 1, poolsWith(1)));
    const std::string older = configuration_fold(other).recordsFrom(0).at(0).bytes;
    random_log ahead;
    for (revision_number base = 0; base < 3; ++base) {
        ahead.add(proposalRecord(base, 1, poolsWith(1)));
    }
    CHECK(ahead.reference.apply(7, older) == configuration_fold_status::gap);
    CHECK(ahead.reference.revision() == 3);
}

// Guards against configurations that differ between hosts because their records were received in different batches or repeatedly.
TEST_CASE("the same records result in the same state in any batches and with repetitions")
{
    rc::prop("batches that overlap and repeat", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const random_log log = random_log::generate(random);
        configuration_fold fold;
        while (fold.nextOffset() < log.records.size()) {
            const auto begin = randomBelow(random, fold.nextOffset() + 1);
            const auto end = begin + randomBelow(random, log.records.size() + 1 - begin);
            const revision_number before = fold.revision();
            for (log_offset offset = begin; offset < end; ++offset) {
                fold.apply(offset, log.records[offset]);
            }
            RC_ASSERT(fold.revision() >= before);
        }
        checkEqual(fold, log.reference);
        for (std::int64_t proposal = 0; proposal < 40; ++proposal) {
            RC_ASSERT(fold.resultOf(proposal) == log.reference.resultOf(proposal));
        }
    });

    rc::prop("records in random order, then all in order", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const random_log log = random_log::generate(random);
        configuration_fold fold;
        for (int step = 0; step < 60; ++step) {
            const auto offset = randomBelow(random, log.records.size());
            const revision_number before = fold.revision();
            fold.apply(offset, log.records[offset]);
            RC_ASSERT(fold.revision() >= before);
        }
        for (log_offset offset = 0; offset < log.records.size(); ++offset) {
            fold.apply(offset, log.records[offset]);
        }
        checkEqual(fold, log.reference);
    });
}

// Guards against a host that starts in the middle of a trimmed stream and reaches a different configuration than the other hosts.
TEST_CASE("a fold that starts at any offset reaches the same state or reports that it has not started")
{
    rc::prop("start at a random offset", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const random_log log = random_log::generate(random);
        configuration_fold fold;
        for (auto offset = randomBelow(random, log.records.size()); offset < log.records.size(); ++offset) {
            fold.apply(offset, log.records[offset]);
        }
        if (fold.nextOffset() == 0) {
            RC_ASSERT(fold.revision() == 0U);
        } else {
            checkEqual(fold, log.reference);
        }
    });
}

// Guards against hosts that reach a different state when they receive records from peers instead of the log.
TEST_CASE("hosts that receive records from peers reach the same state")
{
    rc::prop("three hosts, of which one reads the log", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const random_log log = random_log::generate(random);
        std::vector<configuration_fold> hosts(3, configuration_fold(3));
        log_offset nextRead = 0;
        for (int step = 0; step < 40; ++step) {
            const auto target = randomBelow(random, hosts.size());
            const auto source = randomBelow(random, hosts.size());
            if (target == 0 && nextRead < log.records.size()) {
                hosts[0].apply(nextRead, log.records[nextRead]);
                ++nextRead;
            }
            // Three records are retained, so a host that lacks more receives a snapshot. A host may also request records that it already has.
            const log_offset from = randomBelow(random, 2) == 0 ? hosts[target].nextOffset() : 0;
            for (const configuration_record_copy &record : hosts[source].recordsFrom(from)) {
                hosts[target].apply(record.offset, record.bytes);
            }
        }
        for (; nextRead < log.records.size(); ++nextRead) {
            hosts[0].apply(nextRead, log.records[nextRead]);
        }
        for (configuration_fold &host : hosts) {
            for (const configuration_record_copy &record : hosts[0].recordsFrom(host.nextOffset())) {
                host.apply(record.offset, record.bytes);
            }
            checkEqual(host, log.reference);
        }
    });
}

// Guards against a host that cannot catch up when peers no longer retain old records, or that treats a peer's snapshot as one of the log.
TEST_CASE("a peer that no longer retains old records sends a snapshot")
{
    random_log log;
    for (revision_number base = 0; base < configuration_fold::maximumRetainedRecords + 10; ++base) {
        log.add(proposalRecord(base, static_cast<std::int64_t>(base), poolsWith(1 + static_cast<int>(base))));
    }

    configuration_fold fresh;
    const auto records = log.reference.recordsFrom(0);
    REQUIRE(records.size() == 1);
    CHECK(fresh.apply(records[0].offset, records[0].bytes) == configuration_fold_status::started);
    CHECK(fresh.digest() == log.reference.digest());
    CHECK(fresh.nextOffset() == log.reference.nextOffset());
    CHECK_FALSE(fresh.lastSnapshotOffset().has_value());

    // A host that lacks only the newest record applies the snapshot in its place, but does not treat it as a snapshot of the log.
    configuration_fold behind;
    for (log_offset offset = 0; offset + 1 < log.records.size(); ++offset) {
        behind.apply(offset, log.records[offset]);
    }
    const auto newest = fresh.recordsFrom(behind.nextOffset());
    REQUIRE(newest.size() == 1);
    CHECK(behind.apply(newest[0].offset, newest[0].bytes) == configuration_fold_status::started);
    CHECK(behind.digest() == log.reference.digest());
    CHECK_FALSE(behind.lastSnapshotOffset().has_value());
    CHECK(log.reference.recordsFrom(log.reference.nextOffset()).empty());
}

// Guards against confirming both of two concurrent edits although only one of them is in force.
TEST_CASE("of concurrent proposals exactly the one with the lowest offset is accepted")
{
    rc::prop("concurrent proposals", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        random_log log;
        const revision_number rounds = 1 + randomBelow(random, 5);
        std::int64_t id = 0;
        for (revision_number round = 0; round < rounds; ++round) {
            const std::int64_t first = id;
            const auto proposalCount = static_cast<std::int64_t>(2 + randomBelow(random, 4));
            for (; id < first + proposalCount; ++id) {
                log.add(proposalRecord(round, id, poolsWith(1 + static_cast<int>(id))));
            }
            for (std::int64_t proposal = first; proposal < id; ++proposal) {
                RC_ASSERT(log.reference.resultOf(proposal)->accepted == (proposal == first));
            }
            RC_ASSERT(log.reference.revision() == round + 1);
        }
    });
}

// Guards against a record that terminates the process that folds it.
TEST_CASE("random and mutated bytes never throw")
{
    rc::prop("random bytes at any offset", [](log_offset offset, const std::string &bytes) {
        configuration_fold fold;
        const configuration_fold_status status = fold.apply(offset, bytes);
        RC_ASSERT(status == (offset == 0 ? configuration_fold_status::skipped : configuration_fold_status::gap));
    });
    rc::prop("mutated proposals and snapshots", [](std::uint64_t seed, bool isSnapshot) {
        std::mt19937_64 random(seed);
        random_log log;
        log.add(proposalRecord(0, 1, poolsWith(1)));
        std::string bytes = isSnapshot ? log.reference.makeSnapshot() : proposalRecord(1, 2, poolsWith(2));
        const std::string original = bytes;
        bytes[randomBelow(random, bytes.size())] = static_cast<char>(randomBelow(random, 256));
        log.reference.apply(1, bytes);
        configuration_fold newFold;
        const configuration_fold_status status = newFold.apply(1, bytes);
        RC_ASSERT(bytes == original || status == configuration_fold_status::gap);
    });
}
