#include "entry/entry.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace parsleyglade;

constexpr int exitInvalidSettings = 1;
constexpr int exitStartFailed = 3;

/** Reads and checks the settings file. Writes the errors to standard error and returns nullopt if it cannot be read or is invalid. */
std::optional<entry_settings> loadSettings(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        std::cerr << "cannot read the settings file " << path << '\n';
        return std::nullopt;
    }

    const auto settings = parseEntrySettings(text.str());
    if (!settings) {
        for (const failure &each : settings.failures()) {
            std::cerr << path << each.pointer << ": " << name(each.code) << " (" << static_cast<int>(each.code) << "): " << each.reason << ' '
                      << describe(each.code).remedy << '\n';
        }
        return std::nullopt;
    }
    return *settings;
}

/** Runs the entry daemon until a SIGTERM or SIGINT has stopped it. Returns the exit code of the process. */
int serve(const entry_settings &settings)
{
    setUpLogging(settings.logLevel, settings.entryHost);
    event_loop loop;

    http_log_client_settings logSettings;
    logSettings.addresses = settings.logAddresses;
    http_log_client log(loop, logSettings);
    http_host_list_client_settings hostListSettings;
    hostListSettings.addresses = settings.hostListAddresses;
    http_host_list_client hostList(loop, hostListSettings);

    entry_daemon daemon(loop, settings, log, hostList);
    if (const auto started = daemon.start(); !started) {
        std::cerr << started.lastReason().reason << '\n';
        return exitStartFailed;
    }

    const auto stop = [&] {
        daemon.stop([&loop] { loop.stop(); });
    };
    loop.onSignal(SIGTERM, stop);
    loop.onSignal(SIGINT, stop);
    loop.run();
    return 0;
}

} // namespace

/** Entry point of the entry daemon. Returns 0, exitInvalidSettings or exitStartFailed, or the exit code of CLI11 for invalid arguments. */
int main(int argc, char *argv[])
{
    CLI::App app{"Entry daemon of parsleyglade: accepts jobs from callers and places them on the endpoints of its data centre."};
    std::string settingsPath;
    bool checkOnly = false;
    app.add_option("--settings", settingsPath, "JSON settings file of this process")->required();
    app.add_flag("--check", checkOnly, "Check the settings file and exit: 0 when it is correct, 1 when not");
    app.footer("SIGTERM and SIGINT stop the process gracefully: it finishes the requests in flight, up to drainLimitMilliseconds.");
    CLI11_PARSE(app, argc, argv);

    const auto settings = loadSettings(settingsPath);
    if (!settings) {
        return exitInvalidSettings;
    }
    return checkOnly ? 0 : serve(*settings);
}
