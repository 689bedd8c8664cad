#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

namespace {
constexpr const char *defaultPropertyParameters = "seed=20261204";
}

/** Runs the tests with a fixed RapidCheck seed, which RC_PARAMS overrides, and prints it. */
int main(int argc, char *argv[])
{
    ::setenv("RC_PARAMS", defaultPropertyParameters, 0);
    Catch::Session session;
    const int parsed = session.applyCommandLine(argc, argv);
    if (parsed != 0) {
        return parsed;
    }

    if (!session.configData().listTests && !session.configData().listTestNamesOnly) {
        std::cout << "property tests: RC_PARAMS=" << std::getenv("RC_PARAMS") << std::endl;
    }

    return session.run();
}
