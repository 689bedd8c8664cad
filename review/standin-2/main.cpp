#include "cases.h"

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <unistd.h>

namespace {

constexpr int cannotRun = 2;

} // namespace

/** Plays one case. The process ends without destroying the stand-ins, whose threads still run. */
int main(int argc, char *argv[])
{
    const std::map<std::string, review::outcome (*)(review::deployment &, bool)> cases{
        {"gang-without-room", review::playGangWithoutRoom}, {"gang-checkpoints", review::playGangCheckpoints}, {"forgotten-end", review::playForgottenEnd},
        {"gang-failures", review::playGangFailures},        {"second-wave", review::playSecondWave},
    };
    const auto found = argc == 4 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: world CASE RECORD FOLDER\n";
        return cannotRun;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool isDisturbed = trouble == nullptr || std::string(trouble) != "0";
    static review::record log(argv[2]);
    static review::deployment world(log, argv[3], review::deployment_bounds());
    const review::outcome result = found->second(world, isDisturbed);
    world.end();
    log.write(result == review::outcome::broken ? "RULE BROKEN" : result == review::outcome::held ? "rule held" : "the case could not run");
    std::cout << (result == review::outcome::broken ? "broken" : result == review::outcome::held ? "held" : "could not run") << std::endl;
    ::_exit(static_cast<int>(result));
}
