#include "external/standin/standin_endpoint.h"
#include "runtime/runtime.h"

#include <CLI/CLI.hpp>
#include <csignal>

using namespace parsleyglade;

namespace {

/** Endpoints on consecutive ports of one IP address. */
struct endpoint_range
{
    std::string ip;
    int firstPort = 0;
    std::size_t count = 1;
    std::vector<std::string> names; /**< Host names of the first endpoints; the others are named endpoint-PORT. */
};

std::vector<std::unique_ptr<standin_endpoint>> startEndpoints(event_loop &loop, const endpoint_range &range, const standin_endpoint_settings &settings)
{
    std::vector<std::unique_ptr<standin_endpoint>> endpoints;
    for (std::size_t index = 0; index < range.count; ++index) {
        const std::string port = std::to_string(range.firstPort + static_cast<int>(index));
        standin_endpoint_settings endpointSettings = settings;
        endpointSettings.host = index < range.names.size() ? range.names[index] : "endpoint-" + port;
        endpointSettings.seed = settings.seed + index;
        endpoints.push_back(std::make_unique<standin_endpoint>(loop, range.ip + ':' + port, endpointSettings));
    }
    return endpoints;
}

} // namespace

/** Stand-in for the hosts that run a service's jobs. @see docs/standins.md */
int main(int argc, char *argv[])
{
    std::string listen = "127.0.0.1:21001";
    endpoint_range range;
    standin_endpoint_settings settings;
    std::uint64_t runMilliseconds = 20;

    CLI::App application{"Stand-in for the hosts that run a service's jobs"};
    application.add_option("--listen", listen, "IP:PORT of the first endpoint")->capture_default_str();
    application.add_option("--count", range.count, "Number of endpoints, on consecutive ports")->check(CLI::Range(1, 1000))->capture_default_str();
    application.add_option("--names", range.names, "Host names, separated by commas; the rest are endpoint-PORT")->delimiter(',');
    application.add_option("--slots", settings.slots, "Jobs that run concurrently on an endpoint")->capture_default_str();
    application.add_option("--connections", settings.maximumConnections, "Connections to an endpoint; requests on further ones are refused")
        ->capture_default_str();
    application.add_option("--run-milliseconds", runMilliseconds, "Run time of a job without Job-Run-Milliseconds")->capture_default_str();
    application.add_option("--seed", settings.seed, "Seed of the random fault injection")->capture_default_str();
    CLI11_PARSE(application, argc, argv);

    setUpLogging(log_level::info, "standin-endpoint");
    const logger log("endpoint");
    try {
        const auto colon = listen.rfind(':');
        range.ip = listen.substr(0, colon);
        range.firstPort = colon == std::string::npos ? 0 : std::stoi(listen.substr(colon + 1));
        if (range.firstPort == 0 && range.count > 1) {
            throw std::runtime_error("several endpoints need a first port other than 0");
        }
        settings.runTime = std::chrono::milliseconds{runMilliseconds};

        event_loop loop;
        const auto endpoints = startEndpoints(loop, range, settings);
        loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
        loop.onSignal(SIGINT, [&loop] { loop.stop(); });
        log.info("listening", {{"first", endpoints.front()->address()}, {"last", endpoints.back()->address()}, {"count", endpoints.size()}});
        loop.run();
    } catch (const std::exception &error) {
        log.error("cannot start", {{"reason", error.what()}});
        return 1;
    }
    return 0;
}
