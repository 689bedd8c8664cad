#include "external/standin/standin_log.h"
#include "runtime/runtime.h"

#include <CLI/CLI.hpp>
#include <csignal>

using namespace parsleyglade;

/** Stand-in for the platform's append-only log. @see docs/standins.md */
int main(int argc, char *argv[])
{
    std::string listen = "127.0.0.1:21900";
    double appendsPerSecond = 300;
    std::uint64_t latencyMilliseconds = 1;
    std::uint64_t retentionSeconds = 86'400;
    fake_log_settings settings;

    CLI::App application{"Stand-in for the platform's append-only log"};
    application.add_option("--listen", listen, "IP:PORT to listen on")->capture_default_str();
    application.add_option("--appends-per-second", appendsPerSecond, "Rate limit for all streams together, 0 for none")->capture_default_str();
    application.add_option("--latency-milliseconds", latencyMilliseconds, "Time from call to response")->capture_default_str();
    application.add_option("--retention-records", settings.retentionRecords, "Records retained for each stream")->capture_default_str();
    application.add_option("--retention-seconds", retentionSeconds, "Time for which records are retained")->capture_default_str();
    application.add_option("--seed", settings.seed, "Seed of the random fault injection")->capture_default_str();
    CLI11_PARSE(application, argc, argv);

    setUpLogging(log_level::info, "standin-log");
    const logger log("log");
    try {
        event_loop loop;
        settings.retentionAge = std::chrono::seconds{retentionSeconds};
        standin_log server(loop, listen, settings);
        fake_log_faults faults;
        faults.appendsPerSecond = appendsPerSecond;
        faults.latency = std::chrono::milliseconds{latencyMilliseconds};
        server.log().setFaults(faults);

        loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
        loop.onSignal(SIGINT, [&loop] { loop.stop(); });
        log.info("listening", {{"address", server.address()}});
        loop.run();
    } catch (const std::exception &error) {
        log.error("cannot start", {{"reason", error.what()}});
        return 1;
    }
    return 0;
}
