#include "claim_builder.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace parsleyglade;
using namespace parsleyglade::testing;

namespace {

constexpr auto completed = wire::job_result::completed;
constexpr auto unknown = wire::job_result::unknown;
constexpr auto released = wire::job_result::released;
const job_key key = keyOf(1);

claim_fold foldOf(const std::vector<std::string> &records)
{
    claim_fold fold;
    for (const std::string &record : records) {
        fold.apply(fold.nextOffset(), record);
    }
    return fold;
}

std::string claimOf(std::int64_t attempt, std::int64_t fingerprint = 5)
{
    return claim_builder().claim(key, attempt, fingerprint).bytes();
}

std::string resultOf(std::int64_t attempt, wire::job_result::type result)
{
    return claim_builder().result(key, attempt, result).bytes();
}

struct rule_case
{
    std::string rule;
    std::vector<std::string> records;
    claim_state state;
    std::int64_t holder; /**< Attempt that holds the claim; 0 if none. */
};

/** Generates records in an order that dispatchers can cause: completed and unknown follow the claim, since no job is sent before the grant. */
std::vector<std::string> randomRecords()
{
    std::vector<std::string> records;
    std::set<std::pair<int, std::int64_t>> claimed;
    const int count = *rc::gen::inRange(0, 40);
    for (int index = 0; index < count; ++index) {
        const int age = *rc::gen::inRange(0, 4);
        const job_key random = keyOf(age, age * 1000);
        const std::int64_t attempt = *rc::gen::inRange(1, 5);
        claim_builder builder;
        if (*rc::gen::inRange(0, 3) == 0) {
            const auto result = static_cast<wire::job_result::type>(*rc::gen::inRange(1, 4));
            builder.result(random, attempt, claimed.contains({age, attempt}) ? result : released);
        } else {
            builder.claim(random, attempt);
            claimed.emplace(age, attempt);
        }
        if (*rc::gen::inRange(0, 30) == 0) {
            builder.horizon(age * 1000);
        }
        records.push_back(*rc::gen::inRange(0, 20) == 0 ? std::string("damaged") : builder.bytes());
    }
    return records;
}

} // namespace

// Guards against a second holder of a key, and against results that change a job to which they do not belong.
TEST_CASE("claims and results are decided by log order")
{
    const std::vector<rule_case> cases{
        {"the first claim wins", {claimOf(1), claimOf(2)}, claim_state::open, 1},
        {"a duplicate of a claim has no effect", {claimOf(1), claimOf(1)}, claim_state::open, 1},
        {"a release ends the claim", {claimOf(1), resultOf(1, released)}, claim_state::released, 0},
        {"a release of another attempt has no effect", {claimOf(1), resultOf(2, released)}, claim_state::open, 1},
        {"a claim after its own release is void", {claimOf(1), resultOf(1, released), claimOf(1)}, claim_state::released, 0},
        {"a release may precede its claim", {resultOf(1, released), claimOf(1)}, claim_state::released, 0},
        {"a released key may be claimed again", {claimOf(1), resultOf(1, released), claimOf(2)}, claim_state::open, 2},
        {"a duplicate of the first claim stays void after the second release",
         {claimOf(1), resultOf(1, released), claimOf(2), resultOf(2, released), claimOf(1)},
         claim_state::released,
         0},
        {"a claim that lost stays void after the holder's release", {claimOf(1), claimOf(2), resultOf(1, released), claimOf(2)}, claim_state::released, 0},
        {"a release that precedes its claim does not affect another holder",
         {claimOf(1), resultOf(2, released), resultOf(1, released), claimOf(2)},
         claim_state::released,
         0},
        {"completed is final", {claimOf(1), resultOf(1, completed), resultOf(1, released), resultOf(1, unknown), claimOf(2)}, claim_state::completed, 1},
        {"a key with an unknown outcome cannot be claimed", {claimOf(1), resultOf(1, unknown), claimOf(2)}, claim_state::unknown, 1},
        {"unknown may become completed", {claimOf(1), resultOf(1, unknown), resultOf(1, completed)}, claim_state::completed, 1},
        {"unknown may become released", {claimOf(1), resultOf(1, unknown), resultOf(1, released), claimOf(2)}, claim_state::open, 2},
        {"results of another attempt have no effect", {claimOf(1), resultOf(2, unknown), resultOf(2, completed)}, claim_state::open, 1},
        {"a released key still belongs to its request", {claimOf(1), resultOf(1, released), claimOf(2, 6)}, claim_state::released, 0},
        {"the results of a batch are applied before its claims",
         {claimOf(1), claim_builder().claim(key, 2).result(key, 1, released).bytes()},
         claim_state::open,
         2},
    };

    for (const rule_case &item : cases) {
        INFO(item.rule);
        const claim_fold fold = foldOf(item.records);
        const claim_record *record = fold.find({key, caller_id{1}});
        REQUIRE(record != nullptr);
        CHECK(record->state == item.state);
        CHECK((item.holder == 0 || record->attempt == attempt_id{item.holder}));
        CHECK(fold.openClaims().size() == (item.state == claim_state::open ? 1 : 0));
    }
}

// Guards against replying to one caller with the result of another caller's job.
TEST_CASE("equal keys of different callers denote different jobs")
{
    const claim_fold fold = foldOf({claimOf(1), claim_builder().claim(key, 2, 7, 2).bytes()});
    CHECK(fold.find({key, caller_id{1}})->attempt == attempt_id{1});
    CHECK(fold.find({key, caller_id{2}})->attempt == attempt_id{2});
}

// Guards against running a job again after its record has expired.
TEST_CASE("keys older than the expiry horizon are removed and refused")
{
    const job_key older = keyOf(1, 0);
    const job_key newer = keyOf(2, 5000);
    claim_fold fold = foldOf({claim_builder().claim(older, 1).claim(newer, 2).bytes(), claim_builder().horizon(5000).bytes(),
                              claim_builder().claim(older, 3).result(older, 4, released).bytes(), claim_builder().horizon(1000).bytes()});
    CHECK(fold.find({older, caller_id{1}}) == nullptr);
    CHECK(fold.isExpired(older));
    CHECK(fold.find({newer, caller_id{1}}) != nullptr);
    CHECK(fold.openClaims().size() == 1);
    CHECK(fold.horizon() == newer.created());
}

// Guards against applying a stream with a missing record, and against stale replicas that return old records again.
TEST_CASE("applied offsets are ignored and a gap is reported")
{
    claim_fold fold = foldOf({claimOf(1)});
    const std::string before = fold.digest();
    CHECK(fold.apply(0, claimOf(2)).status == fold_status::ignored);
    CHECK(fold.apply(2, resultOf(1, released)).status == fold_status::gap);
    CHECK(fold.digest() == before);
    CHECK(fold.apply(1, "damaged").status == fold_status::corrupt);
    CHECK(fold.corruptCount() == 1);
    CHECK(fold.nextOffset() == 2);
}

// Guards against unbounded memory for a key that is claimed and released again and again.
TEST_CASE("a key accepts a bounded number of attempts")
{
    claim_fold fold;
    for (int attempt = 1; attempt <= 1000; ++attempt) {
        fold.apply(fold.nextOffset(), claimOf(attempt));
        fold.apply(fold.nextOffset(), resultOf(attempt, released));
    }
    CHECK(fold.weight() == 1 + claim_fold::maximumVoidAttempts);
    fold.apply(fold.nextOffset(), claimOf(1));
    CHECK(fold.find({key, caller_id{1}})->state == claim_state::released);
}

// Guards against readers that disagree, and against duplicates of a batch that change the state.
TEST_CASE("folds of the same records agree, and duplicates have no effect")
{
    rc::prop("two readers agree, and a duplicate of all records changes only the offset", [] {
        const auto records = randomRecords();
        RC_ASSERT(foldOf(records).digest() == foldOf(records).digest());

        const claim_fold once = foldOf(records);
        auto twice = records;
        twice.insert(twice.end(), records.begin(), records.end());
        const claim_fold copied = foldOf(twice);
        RC_ASSERT(once.openClaims() == copied.openClaims());
        RC_ASSERT(once.weight() == copied.weight());
    });
}

// Guards against a restart from a snapshot that leads to a different state.
TEST_CASE("a reader that starts from a snapshot reaches the same state")
{
    rc::prop("a full replay and a snapshot have the same digest", [] {
        const auto before = randomRecords();
        claim_fold fold = foldOf(before);
        RC_PRE(fold.nextOffset() > 0U);
        stream_reader reader;
        read_response response{read_response::kind::trimmed, {}, fold.nextOffset(), 0};
        reader.handleResponse(response);

        auto records = snapshotRecords(fold, 9, *rc::gen::inRange<std::size_t>(1, 6));
        const auto after = randomRecords();
        records.insert(records.end(), after.begin(), after.end());
        response.result = read_response::kind::ok;
        for (const std::string &record : records) {
            response.records.push_back({fold.nextOffset(), record});
            fold.apply(fold.nextOffset(), record);
        }
        response.head = fold.nextOffset();
        reader.handleResponse(response);
        RC_ASSERT(!reader.isCaughtUp());
        reader.handleResponse(response);
        RC_ASSERT(reader.isCaughtUp());
        RC_ASSERT(reader.fold().digest() == fold.digest());
    });
}

// Guards against starting from part of a snapshot, which would make claimed keys appear unclaimed.
TEST_CASE("an incomplete or corrupt snapshot is ignored")
{
    claim_fold fold;
    for (int number = 0; number < 20; ++number) {
        fold.apply(fold.nextOffset(), claim_builder().claim(keyOf(number), 1).bytes());
    }
    const auto good = snapshotRecords(fold, 1, 6);
    claim_fold later = fold;
    for (const std::string &record : good) {
        later.apply(later.nextOffset(), record);
    }
    auto bad = snapshotRecords(later, 2, 6);
    const bool isDamaged = GENERATE(true, false);
    if (isDamaged) {
        auto batch = *decode<wire::claim_batch>(bad[1]);
        batch.snapshot.part[batch.snapshot.part.size() / 2] ^= 1;
        bad[1] = encode(batch);
    } else {
        bad.pop_back();
    }

    read_response response{read_response::kind::trimmed, {}, fold.nextOffset(), 0};
    stream_reader reader;
    reader.handleResponse(response);
    response.result = read_response::kind::ok;
    log_offset offset = fold.nextOffset();
    const bool hasGood = GENERATE(true, false);
    for (const std::string &record : good) {
        response.records.push_back({offset++, hasGood ? record : std::string("damaged")});
    }
    for (const std::string &record : bad) {
        response.records.push_back({offset++, record});
    }
    response.head = offset;
    reader.handleResponse(response);
    reader.handleResponse(response);
    CHECK(reader.isCaughtUp() == hasGood);
    CHECK(reader.fold().size() == (hasGood ? 20 : 0));
}
