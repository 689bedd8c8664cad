#include "claim_builder.h"
#include "jobs/answer_store.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace parsleyglade::testing;

namespace {

wire::kept_answer answerOf(std::size_t size)
{
    wire::kept_answer answer;
    answer.httpStatus = 200;
    answer.body = std::string(size, 'a');
    return answer;
}

claim_identity jobOf(int number)
{
    return {keyOf(number, number), caller_id{1}};
}

} // namespace

// Guards against unbounded memory, and against evicting new answers before old ones.
TEST_CASE("answers are bounded, the oldest goes first")
{
    answer_store store(1000, 3600);
    CHECK_FALSE(store.keep(jobOf(1), answerOf(1001)));
    for (int number = 1; number <= 4; ++number) {
        CHECK(store.keep(jobOf(number), answerOf(1000)));
        CHECK(store.bytes() <= 3600);
    }
    CHECK_FALSE(store.find(jobOf(1)));
    CHECK(store.find(jobOf(2)));
    CHECK(store.find(jobOf(4))->body.size() == 1000);

    // Guards against a late answer that replaces the one a caller has seen.
    CHECK(store.keep(jobOf(4), answerOf(1)));
    CHECK(store.find(jobOf(4))->body.size() == 1000);

    store.dropBefore(jobOf(4).key.created());
    CHECK_FALSE(store.find(jobOf(3)));
    CHECK(store.find(jobOf(4)));
}
