#include "wire/wire.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace parsleyglade;

namespace {

wire::claim_batch sampleBatch()
{
    wire::claim_batch batch;
    batch.writer = 7;
    batch.batch = 11;
    batch.horizonMilliseconds = 0;
    wire::claim_entry claim;
    claim.key = std::string(16, 'k');
    claim.caller = 1;
    batch.claims.push_back(claim);
    return batch;
}

} // namespace

// Guards against records that are changed by encoding and decoding.
TEST_CASE("a batch is unchanged after encoding and decoding")
{
    const auto decoded = decode<wire::claim_batch>(encode(sampleBatch()));
    REQUIRE(decoded.hasValue());
    CHECK(*decoded == sampleBatch());
}

// Guards against crashes, exceptions and unbounded allocation on malformed bytes.
TEST_CASE("malformed bytes either decode or fail with corrupt_record, and never throw")
{
    rc::prop("random bytes", [](const std::string &bytes) {
        const auto decoded = decode<wire::peer_message>(bytes);
        const bool isExpectedResult = decoded.hasValue() || decoded.lastReason().code == result_code::corrupt_record;
        RC_ASSERT(isExpectedResult);
    });
    rc::prop("mutated bytes", [](std::uint8_t replacement) {
        std::string bytes = encode(sampleBatch());
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = static_cast<char>(replacement);
        const auto decoded = decode<wire::claim_batch>(bytes);
        const bool isExpectedResult = decoded.hasValue() || decoded.lastReason().code == result_code::corrupt_record;
        RC_ASSERT(isExpectedResult);
    });
    rc::prop("truncated bytes", [] {
        const std::string bytes = encode(sampleBatch());
        const auto decoded = decode<wire::claim_batch>(bytes.substr(0, *rc::gen::inRange<std::size_t>(0, bytes.size())));
        RC_ASSERT(!decoded.hasValue());
    });
}
