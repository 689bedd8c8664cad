#include "core/core.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace parsleyglade;

// Guards against keys whose identity or creation time changes on conversion to text or bytes and back.
TEST_CASE("a key is unchanged after conversion to text or bytes and back")
{
    rc::prop("conversion to text and bytes and back returns the same key", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        const wall_time created{std::chrono::milliseconds{*rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 47)}};
        const job_key key = job_key::generate(created, random);
        RC_ASSERT(key.created() == created);
        RC_ASSERT(job_key::parse(key.text()).value() == key);
        RC_ASSERT(job_key::fromBytes(key.bytes()).value() == key);
    });
}

// Guards against accepting malformed keys and UUIDs of another version, whose first bytes are not a creation time.
TEST_CASE("malformed keys are rejected with invalid_key")
{
    const std::string text = GENERATE(as<std::string>{}, "", "x", "0190163d-8694-4f5e-9d25-1f6c6f5d3c8f", "0190163d-8694-7f5e-1d25-1f6c6f5d3c8f",
                                      "0190163d86947f5e9d251f6c6f5d3c8f0000", "0190163d-8694-7f5e-9d25-1f6c6f5d3c8g");
    const auto key = job_key::parse(text);
    REQUIRE_FALSE(key.hasValue());
    CHECK(key.lastReason().code == result_code::invalid_key);
}
