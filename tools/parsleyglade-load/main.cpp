#include "connection_holder.h"
#include "execution_oracle.h"
#include "load_generator.h"
#include "load_report.h"

#include "runtime/runtime.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <charconv>
#include <iostream>
#include <optional>

using namespace parsleyglade;

namespace {

struct command_line
{
    load_settings load;
    std::string keys = "new";
    std::string retry = "none";
    std::uint32_t timeLimitMilliseconds = 35'000;
    std::vector<std::string> oracles;
    bool holds = false;
    bool json = false;
};

void addOptions(CLI::App &application, command_line &line)
{
    load_settings &load = line.load;
    application.add_option("--target", load.targets, "IP:PORT on loopback; may be given several times")->required();
    application.add_option("--route", load.route, "Path of the requests")->capture_default_str();
    application.add_option("--method", load.method, "Method of the requests")->capture_default_str();
    application.add_option("--rate", load.rate, "Jobs a second")->check(CLI::PositiveNumber)->capture_default_str();
    application.add_option("--seconds", load.seconds, "Time to send, or to hold")->check(CLI::PositiveNumber)->capture_default_str();
    application.add_option("--token", load.token, "Bearer token");
    application.add_option("--keys", line.keys, "none, new or repeat:SHARE")->capture_default_str();
    application.add_option("--retry", line.retry, "none, immediate or honour")->check(CLI::IsMember({"none", "immediate", "honour"}))->capture_default_str();
    application.add_option("--attempts", load.attempts, "Attempts of one job at most")->check(CLI::PositiveNumber)->capture_default_str();
    application.add_option("--long-share", load.longShare, "Share of long jobs")->check(CLI::Range(0.0, 1.0))->capture_default_str();
    application.add_option("--run-milliseconds", load.runMilliseconds, "Run time of short jobs")->capture_default_str();
    application.add_option("--long-run-milliseconds", load.longRunMilliseconds, "Run time of long jobs")->capture_default_str();
    application.add_option("--body-bytes", load.bodyBytes, "Size of a request's body at least")->capture_default_str();
    application.add_option("--connections", load.connections, "Connections at most, or to hold")->check(CLI::Range(1, 20'000))->capture_default_str();
    application.add_option("--time-limit-milliseconds", line.timeLimitMilliseconds, "Of one attempt")->capture_default_str();
    application.add_option("--seed", load.seed, "Seed of all random choices; give each of several generators its own")->capture_default_str();
    application.add_flag("--idempotent", load.isIdempotent, "The route is idempotent: several executions of a key are no fault");
    application.add_option("--oracle", line.oracles, "IP:PORT[,COUNT] of stand-in endpoints; may be given several times")->delimiter(';');
    application.add_flag("--hold", line.holds, "Only hold idle connections");
    application.add_flag("--json", line.json, "Print JSON");
}

bool isLoopback(const std::string &address)
{
    return address.rfind("127.", 0) == 0 && address.find(':') != std::string::npos;
}

template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number number{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

/** Applies the options that need more than a conversion. Returns what is wrong, or an empty string. */
std::string applyPolicies(command_line &line)
{
    load_settings &load = line.load;
    if (!std::all_of(load.targets.begin(), load.targets.end(), isLoopback)) {
        return "--target takes only IP:PORT on loopback (127.0.0.0/8)";
    }
    load.timeLimit = std::chrono::milliseconds{line.timeLimitMilliseconds};
    load.retry = line.retry == "immediate" ? retry_policy::immediate : line.retry == "honour" ? retry_policy::honour : retry_policy::none;

    constexpr std::string_view repeat = "repeat:";
    const std::string_view keys = line.keys;
    if (keys == "none") {
        load.keys = key_policy::none;
        return {};
    }
    if (keys == "new") {
        load.keys = key_policy::new_keys;
        return {};
    }

    const auto share = keys.substr(0, repeat.size()) == repeat ? parseNumber<double>(keys.substr(repeat.size())) : std::nullopt;
    if (!share || *share < 0 || *share > 1) {
        return "--keys takes none, new or repeat:SHARE";
    }
    load.keys = key_policy::repeated;
    load.repeatShare = *share;
    return {};
}

/** Expands IP:PORT,COUNT to the addresses of consecutive ports; empty when malformed. */
std::vector<std::string> expandOracle(const std::string &text)
{
    const auto comma = text.find(',');
    const std::string address = text.substr(0, comma);
    const auto colon = address.rfind(':');
    const auto port = isLoopback(address) ? parseNumber<int>(address.substr(colon + 1)) : std::nullopt;
    const auto count = comma == std::string::npos ? std::optional(1) : parseNumber<int>(text.substr(comma + 1));
    constexpr int mostEndpoints = 1000;
    if (!port || !count || *count < 1 || *count > mostEndpoints) {
        return {};
    }

    std::vector<std::string> addresses(static_cast<std::size_t>(*count));
    for (int index = 0; index < *count; ++index) {
        addresses[static_cast<std::size_t>(index)] = address.substr(0, colon + 1) + std::to_string(*port + index);
    }
    return addresses;
}

int hold(const command_line &line)
{
    event_loop loop;
    connection_holder holder(loop, line.load.targets, line.load.connections);
    const auto end = loop.after(std::chrono::duration_cast<duration>(std::chrono::duration<double>(line.load.seconds)), [&loop] { loop.stop(); });
    loop.run();
    if (line.json) {
        std::cout << R"({"open":)" << holder.openCount() << R"(,"lost":)" << holder.lostCount() << "}\n";
    } else {
        std::cout << "open " << holder.openCount() << ", lost " << holder.lostCount() << '\n';
    }
    return holder.lostCount() == 0 ? 0 : 1;
}

int load(const command_line &line, const std::vector<std::string> &endpoints)
{
    event_loop loop;
    load_generator generator(loop, line.load);
    generator.start([&loop] { loop.stop(); });
    loop.run();

    std::optional<oracle_report> report;
    execution_oracle oracle(loop, endpoints);
    if (!endpoints.empty()) {
        oracle.check(generator.histories(), line.load.isIdempotent, [&](const oracle_report &result) {
            report = result;
            loop.stop();
        });
        loop.run();
    }

    const load_totals &totals = generator.totals();
    std::cout << (line.json ? renderJson(totals, report) + '\n' : renderText(totals, report));
    return totals.foreignBodies == 0 && (!report || report->isClean()) ? 0 : 1;
}

} // namespace

/** Load generator with a test oracle, for loopback. Exits 1 when a check fails. @see docs/standins.md */
int main(int argc, char *argv[])
{
    command_line line;
    CLI::App application{"Open-loop HTTP load generator with a test oracle, for loopback"};
    addOptions(application, line);
    CLI11_PARSE(application, argc, argv);

    constexpr int usageError = 2;
    if (const std::string wrong = applyPolicies(line); !wrong.empty()) {
        std::cerr << wrong << '\n';
        return usageError;
    }
    std::vector<std::string> endpoints;
    for (const std::string &text : line.oracles) {
        const auto addresses = expandOracle(text);
        if (addresses.empty()) {
            std::cerr << "--oracle takes IP:PORT[,COUNT] on loopback\n";
            return usageError;
        }
        endpoints.insert(endpoints.end(), addresses.begin(), addresses.end());
    }

    return line.holds ? hold(line) : load(line, endpoints);
}
