#include "external/standin/settings_reader.h"
#include "external/standin/standin_server.h"
#include "relay.h"

#include <CLI/CLI.hpp>
#include <csignal>

using namespace parsleyglade;

namespace {

/** Creates a relay from "NAME=LISTEN=TARGET". Throws std::runtime_error when the text is malformed or the address can't be bound. */
std::unique_ptr<relay> parseRelay(event_loop &loop, const std::string &text)
{
    const auto first = text.find('=');
    const auto second = text.find('=', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
        throw std::runtime_error("a link must have the form NAME=LISTEN=TARGET: " + text);
    }
    return std::make_unique<relay>(loop, text.substr(0, first), text.substr(first + 1, second - first - 1), text.substr(second + 1));
}

/** Sets the faults of each link whose name begins with the last part of the path. */
void setFaults(const std::vector<std::unique_ptr<relay>> &relays, const std::shared_ptr<standin_exchange> &exchange)
{
    constexpr std::string_view prefix = "/v1/faults/";
    if (exchange->method() != "PUT" || exchange->path().compare(0, prefix.size(), prefix) != 0) {
        exchange->replyJson(404, R"({"error":"use PUT /v1/faults/NAME-PREFIX"})");
        return;
    }

    link_faults faults;
    settings_reader reader;
    reader.add("cutToTarget", faults.isPartitionedToTarget)
        .add("cutFromTarget", faults.isPartitionedFromTarget)
        .addMilliseconds("latencyMilliseconds", faults.latency);
    const std::string error = reader.apply(exchange->body());
    if (!error.empty()) {
        exchange->replyJson(400, R"({"error":"the body has an unknown key or a value of the wrong type"})");
        return;
    }

    const std::string wanted = exchange->path().substr(prefix.size());
    std::size_t count = 0;
    for (const auto &link : relays) {
        if (link->name().compare(0, wanted.size(), wanted) == 0) {
            link->setFaults(faults);
            ++count;
        }
    }
    exchange->replyJson(count == 0 ? 404 : 200, R"({"links":)" + std::to_string(count) + "}");
}

} // namespace

/** Stand-in for the network between processes: relays TCP connections, and partitions or delays them. @see docs/standins.md */
int main(int argc, char *argv[])
{
    std::string control = "127.0.0.1:21902";
    std::vector<std::string> links;
    CLI::App application{"Stand-in for the network between processes: relays TCP connections, and partitions or delays them"};
    application.add_option("--control", control, "IP:PORT of the server that sets faults")->capture_default_str();
    application.add_option("--link", links, "NAME=LISTEN=TARGET, both addresses as IP:PORT; can be repeated")->required();
    CLI11_PARSE(application, argc, argv);

    setUpLogging(log_level::info, "standin-link");
    const logger log("link");
    try {
        event_loop loop;
        std::vector<std::unique_ptr<relay>> relays;
        relays.reserve(links.size());
        for (const std::string &link : links) {
            relays.push_back(parseRelay(loop, link));
        }
        const standin_server server(loop, control, [&relays](const std::shared_ptr<standin_exchange> &exchange) { setFaults(relays, exchange); });

        loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
        loop.onSignal(SIGINT, [&loop] { loop.stop(); });
        log.info("listening", {{"control", server.address()}, {"links", links.size()}});
        loop.run();
    } catch (const std::exception &error) {
        log.error("cannot start", {{"reason", error.what()}});
        return 1;
    }
    return 0;
}
