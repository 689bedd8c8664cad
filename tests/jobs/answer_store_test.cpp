#include "claim_builder.h"
#include "jobs/response_cache.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace parsleyglade::testing;

namespace {

wire::kept_answer responseOf(std::size_t size)
{
    wire::kept_answer response;
    response.httpStatus = 200;
    response.body = std::string(size, 'a');
    return response;
}

claim_identity jobOf(int number)
{
    return {keyOf(number, number), caller_id{1}};
}

} // namespace

// Guards against unbounded memory and against evicting new responses before old ones.
TEST_CASE("the response cache is bounded and evicts the oldest entry first")
{
    response_cache cache(1000, 3600);
    CHECK_FALSE(cache.store(jobOf(1), responseOf(1001)));
    for (int number = 1; number <= 4; ++number) {
        CHECK(cache.store(jobOf(number), responseOf(1000)));
        CHECK(cache.bytes() <= 3600);
    }
    CHECK_FALSE(cache.find(jobOf(1)));
    CHECK(cache.find(jobOf(2)));
    CHECK(cache.find(jobOf(4))->body.size() == 1000);

    // Guards against a late response that replaces the one a caller has already received.
    CHECK(cache.store(jobOf(4), responseOf(1)));
    CHECK(cache.find(jobOf(4))->body.size() == 1000);

    cache.removeBefore(jobOf(4).key.created());
    CHECK_FALSE(cache.find(jobOf(3)));
    CHECK(cache.find(jobOf(4)));
}
