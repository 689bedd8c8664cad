#include "teams/teams.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

team_policy makeTeam(std::string name, const std::vector<std::string> &keys)
{
    team_policy team;
    team.name = std::move(name);
    for (const std::string &key : keys) {
        team.keyDigests.push_back(digestOfKey(key));
    }
    return team;
}

} // namespace

// Guards against a key that is taken for another team's, and against keys that are kept in plain text.
TEST_CASE("a key belongs to the team that has it", "[teams]")
{
    const team_policy red = makeTeam("red", {"first-key", "second-key"});
    const team_policy blue = makeTeam("blue", {"third-key", "first-key"});
    const key_directory keys({red, blue});

    CHECK(keys.size() == 3);
    REQUIRE(keys.findTeam(digestOfKey("second-key")) != nullptr);
    CHECK(*keys.findTeam(digestOfKey("second-key")) == "red");
    CHECK(*keys.findTeam(digestOfKey("third-key")) == "blue");
    CHECK(*keys.findTeam(digestOfKey("first-key")) == "red");
    CHECK(keys.findTeam(digestOfKey("first-ke")) == nullptr);
    CHECK(keys.findTeam("first-key") == nullptr);
    CHECK(keys.findTeam({}) == nullptr);
    CHECK(red.keyDigests.front().find("first-key") == std::string::npos);
}

// Guards against a caller with a new key that gets 401 from an entry host which has not received the configuration yet, and against a withdrawn key that is
// accepted on for ever, in each state of an entry host.
TEST_CASE("an entry host rejects a key only when the newest configuration does not have it", "[teams]")
{
    struct row
    {
        std::string state;
        bool isKnown;
        key_check_state inputs;
        key_verdict expected;
    };
    const std::vector<row> rows{
        {"current", true, {false, 100ms, 3s, {}}, key_verdict::accepted},
        {"current", false, {false, 100ms, 3s, {}}, key_verdict::rejected},
        {"behind the leader", true, {true, 100ms, 3s, {}}, key_verdict::accepted},
        {"behind the leader", false, {true, 100ms, 3s, {}}, key_verdict::outdated},
        {"refused by the store and without a leader", true, {false, 8s, 3s, {}}, key_verdict::accepted},
        {"refused by the store and without a leader", false, {false, 8s, 3s, {}}, key_verdict::unverified},
        {"woken after a freeze, strict limit", true, {false, 8s, 3s, 5s}, key_verdict::revocation_unknown},
        {"woken after a freeze, strict limit", false, {false, 8s, 3s, 5s}, key_verdict::unverified},
        {"cut off for a moment, strict limit", true, {false, 4s, 3s, 5s}, key_verdict::accepted},
        {"at the strict limit", true, {false, 5s, 3s, 5s}, key_verdict::revocation_unknown},
        {"at the bound of the configuration", false, {false, 3s, 3s, {}}, key_verdict::unverified},
    };
    for (const row &row : rows) {
        INFO(row.state << ", known: " << row.isKnown);
        CHECK(checkKey(row.isKnown, row.inputs) == row.expected);
    }
}
