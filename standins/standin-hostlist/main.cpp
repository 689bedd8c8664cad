#include "external/host_list_json.h"
#include "external/standin/standin_host_list.h"
#include "runtime/runtime.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iterator>

using namespace parsleyglade;

namespace {

/** Throws std::runtime_error when the file is malformed. */
host_list readHosts(const std::string &path)
{
    std::ifstream file(path);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    const auto list = hostListFromJson(text);
    if (!list) {
        throw std::runtime_error("the host list file is malformed at " + list.lastReason().pointer + ": " + list.lastReason().reason);
    }
    return *list;
}

} // namespace

/** Stand-in for the platform's host list. @see docs/standins.md */
int main(int argc, char *argv[])
{
    std::string listen = "127.0.0.1:21901";
    std::string hosts;
    std::uint64_t lagMilliseconds = 0;

    CLI::App application{"Stand-in for the platform's host list"};
    application.add_option("--listen", listen, "IP:PORT to listen on")->capture_default_str();
    application.add_option("--hosts", hosts, "JSON file with the initial list, in the format of GET /v1/hosts")->check(CLI::ExistingFile);
    application.add_option("--lag-milliseconds", lagMilliseconds, "Delay until a change becomes visible")->capture_default_str();
    CLI11_PARSE(application, argc, argv);

    setUpLogging(log_level::info, "standin-hostlist");
    const logger log("hosts");
    try {
        event_loop loop;
        standin_host_list server(loop, listen);
        if (!hosts.empty()) {
            server.list().setHosts(readHosts(hosts));
        }
        server.list().setLag(std::chrono::milliseconds{lagMilliseconds});

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
