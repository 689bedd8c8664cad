#include "records/fleet_fold.h"
#include "records/fleet_record_builder.h"
#include "wire/codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace parsleyglade;

namespace {

/** Appends records to a fold and stores them for a replay. */
struct model_stream
{
    fleet_fold fold;
    std::vector<std::string> payloads;
    std::int64_t nextRecord = 1;

    fleet_record_builder writer(std::int64_t incarnation)
    {
        return fleet_record_builder(incarnation).setIdentifierAndTime(nextRecord++, 0);
    }

    fleet_fold_status append(const wire::fleet_record &record)
    {
        payloads.push_back(encode(record));
        return fold.apply(payloads.size() - 1, payloads.back());
    }

    /** Appends a record and returns why it was skipped, or nothing if it was applied. */
    std::optional<skip_reason> skipReasonOf(const wire::fleet_record &record)
    {
        append(record);
        const auto result = fold.resultOf(record.record);
        return result ? result->reason : std::nullopt;
    }

    void startMove()
    {
        append(writer(1).registered("entry-1", "dc", "region", 0));
        append(writer(2).registered("entry-2", "dc", "region", 0));
        append(writer(1).moveStarted("h1", "dc", "p", "q", 0, fold.state().lastPlannedRecord));
    }
};

} // namespace

// Guards against a host that joins its new pool while an entry host may still use it for the old pool.
TEST_CASE("a host joins its new pool only after every registered entry host of the data centre has acknowledged")
{
    model_stream log;
    log.startMove();
    CHECK(log.skipReasonOf(log.writer(1).moveJoined("h1", 1)) == skip_reason::acknowledgement_missing);
    CHECK(log.append(log.writer(1).moveAcknowledged("h1", 1)) == fleet_fold_status::applied);
    CHECK(log.fold.missingAcknowledgements("h1") == std::vector<std::string>{"entry-2"});

    SECTION("by an acknowledgement")
    {
        CHECK(log.append(log.writer(2).moveAcknowledged("h1", 1)) == fleet_fold_status::applied);
    }
    SECTION("by a retirement at its graceful stop")
    {
        CHECK(log.append(log.writer(2).retired("entry-2", 2)) == fleet_fold_status::applied);
    }
    SECTION("by an operator's retirement record, but not by that of another process")
    {
        CHECK(log.skipReasonOf(log.writer(1).retired("entry-2", 2)) == skip_reason::retirement_not_confirmed);
        CHECK(log.append(log.writer(0).retired("entry-2", 2, "operator")) == fleet_fold_status::applied);
    }
    SECTION("by a new incarnation that acknowledges itself")
    {
        log.append(log.writer(3).registered("entry-2", "dc", "region", 1));
        CHECK(log.skipReasonOf(log.writer(2).moveAcknowledged("h1", 1)) == skip_reason::unknown_incarnation);
        CHECK(log.skipReasonOf(log.writer(1).moveJoined("h1", 1)) == skip_reason::acknowledgement_missing);
        CHECK(log.append(log.writer(3).moveAcknowledged("h1", 1)) == fleet_fold_status::applied);
    }
    CHECK(log.fold.isDrained("h1"));
    CHECK(log.append(log.writer(1).moveJoined("h1", 1)) == fleet_fold_status::applied);
    CHECK(log.fold.state().hosts.at("h1").pool == "q");
}

// Guards against a late append of an ended process that replaces the registration of its successor, whose acknowledgement would then not be required.
TEST_CASE("a late or repeated registration of an ended incarnation has no effect")
{
    model_stream log;
    const auto first = log.writer(1).registered("entry-1", "dc", "region", 0);
    log.append(first);
    log.append(log.writer(2).registered("entry-1", "dc", "region", 1));
    CHECK(log.skipReasonOf(log.writer(3).registered("entry-1", "dc", "region", 0)) == skip_reason::stale_registration);
    log.append(first);
    CHECK(log.fold.isRegistered(incarnation_id{2}));
    CHECK_FALSE(log.fold.isRegistered(incarnation_id{1}));
    CHECK_FALSE(log.fold.isRegistered(incarnation_id{3}));
}

// Guards against two planners that both start a move, and against planned work that is based on an outdated state.
TEST_CASE("of concurrent records only the first takes effect")
{
    model_stream log;
    log.startMove();
    CHECK(log.skipReasonOf(log.writer(2).moveStarted("h1", "dc", "p", "r", 0, log.fold.state().lastPlannedRecord)) == skip_reason::stale_epoch);
    CHECK(log.skipReasonOf(log.writer(2).moveStarted("h2", "dc", "p", "r", 0, 77)) == skip_reason::stale_plan);
    CHECK(log.skipReasonOf(log.writer(2).drainStarted(drain_scope::host, "h3", "wave:w", 77)) == skip_reason::stale_plan);
    CHECK(log.append(log.writer(0).drainStarted(drain_scope::rack, "r3", "operator")) == fleet_fold_status::applied);

    CHECK(log.append(log.writer(2).moveCancelled("h1", 1)) == fleet_fold_status::applied);
    CHECK(log.skipReasonOf(log.writer(1).moveAcknowledged("h1", 1)) == skip_reason::stale_epoch);
    CHECK(log.skipReasonOf(log.writer(1).moveJoined("h1", 1)) == skip_reason::stale_epoch);
    CHECK(log.fold.state().hosts.at("h1").pool == "p");
}

// Guards against a duplicated wave command that reverts a later one.
TEST_CASE("a wave command takes effect only if it states the current version")
{
    using wire::fleet_action;
    model_stream log;
    log.append(log.writer(0).wavePlanned("w", {{"h1"}, {"h2"}}, 0, "operator"));
    CHECK(log.append(log.writer(0).waveChanged(fleet_action::wave_started, "w", 1, "operator")) == fleet_fold_status::applied);
    CHECK(log.append(log.writer(0).waveChanged(fleet_action::wave_paused, "w", 2, "operator", "burn rate")) == fleet_fold_status::applied);
    CHECK(log.skipReasonOf(log.writer(0).waveChanged(fleet_action::wave_started, "w", 1, "operator")) == skip_reason::stale_wave);
    CHECK(log.skipReasonOf(log.writer(1).waveHostDone("w", "h9")) == skip_reason::host_not_in_wave);
    CHECK(log.append(log.writer(1).waveHostDone("w", "h1")) == fleet_fold_status::applied);
    CHECK(log.append(log.writer(0).wavePlanned("w", {{"h2"}, {"h1"}}, 3, "planner")) == fleet_fold_status::applied);
    CHECK(log.append(log.writer(0).waveChanged(fleet_action::wave_started, "w", 4, "operator")) == fleet_fold_status::applied);
    CHECK(log.append(log.writer(1).waveHostDone("w", "h2")) == fleet_fold_status::applied);
    CHECK(log.fold.state().waves.at("w").state == wave_state::finished);
}

// Guards against readers that start at a snapshot and reach a different state than readers of all records.
TEST_CASE("a fold that starts at a snapshot has the digest of a complete replay")
{
    model_stream log;
    log.startMove();
    const auto stale = log.fold.snapshot(incarnation_id{1}, log.nextRecord++, 0);
    log.append(log.writer(0).drainStarted(drain_scope::host, "h7", "operator"));
    CHECK(log.skipReasonOf(stale) == skip_reason::stale_snapshot);
    auto forged = log.fold.snapshot(incarnation_id{1}, log.nextRecord++, 0);
    forged.detail[10] ^= 1;
    log.append(forged);
    log.append(log.fold.snapshot(incarnation_id{1}, log.nextRecord++, 0));
    log.append(log.writer(1).moveAcknowledged("h1", 1));

    fleet_fold lateReader;
    lateReader.skipTo(3);
    for (std::size_t offset = 3; offset < log.payloads.size(); ++offset) {
        lateReader.apply(offset, log.payloads[offset]);
    }
    CHECK_FALSE(lateReader.isAwaitingSnapshot());
    CHECK(lateReader.digest() == log.fold.digest());
    CHECK(lateReader.apply(0, log.payloads[0]) == fleet_fold_status::ignored);
    CHECK(lateReader.apply(99, log.payloads[0]) == fleet_fold_status::gap);
}

// Guards against crashes on corrupt records, and against different states of processes that read them.
TEST_CASE("random and mutated records never throw, and all folds of them have the same digest")
{
    rc::prop("mutated records", [] {
        model_stream log;
        log.startMove();
        log.append(log.fold.snapshot(incarnation_id{1}, 90, 0));
        log.append(log.writer(0).wavePlanned("w", {{"h1"}, {"h2"}}, 0, "operator"));
        const auto samples = log.payloads;
        const auto rounds = *rc::gen::inRange(1, 20);
        for (int round = 0; round < rounds; ++round) {
            std::string bytes = *rc::gen::elementOf(samples);
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
            log.payloads.push_back(*rc::gen::weightedElement<std::string>({{4, bytes}, {1, *rc::gen::arbitrary<std::string>()}}));
            log.fold.apply(log.payloads.size() - 1, log.payloads.back());
        }
        fleet_fold other;
        for (std::size_t offset = 0; offset < log.payloads.size(); ++offset) {
            other.apply(offset, log.payloads[offset]);
            other.apply(offset, log.payloads[offset]);
        }
        RC_ASSERT(other.digest() == log.fold.digest());
        RC_ASSERT(fleet_state::fromJson(other.state().toJson()) == other.state());
    });
}
