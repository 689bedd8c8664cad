#include "entry/rendezvous.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>

using namespace parsleyglade;

namespace {

std::vector<std::string> entryHosts(int count)
{
    std::vector<std::string> names;
    for (int number = 1; number <= count; ++number) {
        names.push_back("entry-" + std::to_string(number));
    }
    return names;
}

} // namespace

// Guards against hosts that select different coordinators from the same set of candidates, and against membership changes that reassign
// every stream.
TEST_CASE("the selection depends only on the set of candidates, and a removed candidate reassigns only its own subjects")
{
    rc::prop("the order of candidates does not matter; removing another candidate changes nothing", [](const std::string &subject) {
        std::vector<std::string> names = entryHosts(*rc::gen::inRange(2, 19));
        const std::string selected = selectByRendezvous(subject, names);
        const auto other = std::find_if(names.begin(), names.end(), [&](const std::string &name) { return name != selected; });
        std::vector<std::string> without = names;
        without.erase(without.begin() + (other - names.begin()));
        std::reverse(names.begin(), names.end());
        RC_ASSERT(selectByRendezvous(subject, names) == selected);
        RC_ASSERT(selectByRendezvous(subject, without) == selected);
    });
}

// Guards against a hash that assigns most streams to one host.
TEST_CASE("subjects are spread evenly over the candidates")
{
    std::map<std::string, int> counts;
    for (int subject = 0; subject < 7000; ++subject) {
        ++counts[selectByRendezvous("claims-" + std::to_string(subject), entryHosts(7))];
    }
    for (const std::string &name : entryHosts(7)) {
        CHECK(counts[name] > 800);
        CHECK(counts[name] < 1200);
    }
    CHECK(selectByRendezvous("claims-0", {}).empty());
}
