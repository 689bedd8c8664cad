#include "execution_oracle.h"
#include "idle_connections.h"
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
    std::string keyPolicy = "new";
    std::string retryPolicy = "none";
    std::uint32_t attemptTimeoutMilliseconds = 35'000;
    std::vector<std::string> oracles;
    bool opensIdleConnections = false;
    bool printsJson = false;
};

void addOptions(CLI::App &application, command_line &line)
{
    load_settings &load = line.load;
    application.add_option("--target", load.targets, "IP:PORT on loopback; may be given several times")->required();
    application.add_option("--route", load.route, "Request path")->capture_default_str();
    application.add_option("--method", load.method, "HTTP method")->capture_default_str();
    application.add_option("--rate", load.jobsPerSecond, "Mean rate of new jobs, in jobs per second")->check(CLI::PositiveNumber)->capture_default_str();
    application.add_option("--seconds", load.seconds, "Time to send jobs, or with --hold to keep connections open, in seconds")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    application.add_option("--token", load.token, "Bearer token of every request");
    application.add_option("--keys", line.keyPolicy, "Idempotency-Key of the jobs: none, new, or repeat:SHARE to repeat an earlier job for a share of them")
        ->capture_default_str();
    application.add_option("--retry", line.retryPolicy, "Retries of failed attempts: none, immediate, or honour to wait as the response requests")
        ->check(CLI::IsMember({"none", "immediate", "honour"}))
        ->capture_default_str();
    application.add_option("--attempts", load.maximumAttempts, "Maximum number of attempts of a job")->check(CLI::PositiveNumber)->capture_default_str();
    application.add_option("--long-share", load.longShare, "Share of long jobs, 0 to 1")->check(CLI::Range(0.0, 1.0))->capture_default_str();
    application.add_option("--run-milliseconds", load.runMilliseconds, "Requested run time of short jobs")->capture_default_str();
    application.add_option("--long-run-milliseconds", load.longRunMilliseconds, "Requested run time of long jobs")->capture_default_str();
    application.add_option("--body-bytes", load.minimumBodyBytes, "Minimum size of a request body")->capture_default_str();
    application.add_option("--connections", load.maximumConnections, "Maximum number of connections, or with --hold the number to open")
        ->check(CLI::Range(1, 20'000))
        ->capture_default_str();
    application.add_option("--time-limit-milliseconds", line.attemptTimeoutMilliseconds, "Timeout of one attempt")->capture_default_str();
    application.add_option("--seed", load.seed, "Seed of all random choices; generators that run at the same time need different seeds")->capture_default_str();
    application.add_flag("--idempotent", load.isIdempotent, "The route is idempotent: a key may be executed more than once");
    application.add_option("--oracle", line.oracles, "IP:PORT[,COUNT] of stand-in endpoints on consecutive ports; may be given several times")->delimiter(';');
    application.add_flag("--hold", line.opensIdleConnections, "Only open idle connections and keep them open; send no jobs");
    application.add_flag("--json", line.printsJson, "Print JSON");
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

/** Validates the targets and fills in the load settings that are parsed from text options. Returns an error message, or an empty string. */
std::string resolveOptions(command_line &line)
{
    load_settings &load = line.load;
    if (!std::all_of(load.targets.begin(), load.targets.end(), isLoopback)) {
        return "--target must be IP:PORT on loopback (127.0.0.0/8)";
    }
    load.attemptTimeout = std::chrono::milliseconds{line.attemptTimeoutMilliseconds};
    load.retryPolicy = line.retryPolicy == "immediate" ? retry_policy::immediate
        : line.retryPolicy == "honour"                 ? retry_policy::honour_retry_after
                                                       : retry_policy::none;

    constexpr std::string_view repeatPrefix = "repeat:";
    const std::string_view keyPolicy = line.keyPolicy;
    if (keyPolicy == "none") {
        load.keyPolicy = key_policy::none;
        return {};
    }
    if (keyPolicy == "new") {
        load.keyPolicy = key_policy::new_keys;
        return {};
    }

    const auto share = keyPolicy.substr(0, repeatPrefix.size()) == repeatPrefix ? parseNumber<double>(keyPolicy.substr(repeatPrefix.size())) : std::nullopt;
    if (!share || *share < 0 || *share > 1) {
        return "--keys must be none, new or repeat:SHARE with a share from 0 to 1";
    }
    load.keyPolicy = key_policy::repeated;
    load.repeatShare = *share;
    return {};
}

/** Expands IP:PORT[,COUNT] to the addresses of COUNT consecutive ports. Returns an empty list if the text is malformed. */
std::vector<std::string> expandEndpointRange(const std::string &text)
{
    const auto comma = text.find(',');
    const std::string address = text.substr(0, comma);
    const auto colon = address.rfind(':');
    const auto port = isLoopback(address) ? parseNumber<int>(address.substr(colon + 1)) : std::nullopt;
    const auto count = comma == std::string::npos ? std::optional(1) : parseNumber<int>(text.substr(comma + 1));
    constexpr int maximumEndpoints = 1000;
    if (!port || !count || *count < 1 || *count > maximumEndpoints) {
        return {};
    }

    std::vector<std::string> addresses(static_cast<std::size_t>(*count));
    for (int index = 0; index < *count; ++index) {
        addresses[static_cast<std::size_t>(index)] = address.substr(0, colon + 1) + std::to_string(*port + index);
    }
    return addresses;
}

int runIdleConnections(const command_line &line)
{
    event_loop loop;
    idle_connections connections(loop, line.load.targets, line.load.maximumConnections);
    const auto timer = loop.after(std::chrono::duration_cast<duration>(std::chrono::duration<double>(line.load.seconds)), [&loop] { loop.stop(); });
    loop.run();
    if (line.printsJson) {
        std::cout << R"({"open":)" << connections.openCount() << R"(,"lost":)" << connections.lostCount() << "}\n";
    } else {
        std::cout << "open " << connections.openCount() << ", lost " << connections.lostCount() << '\n';
    }
    return connections.lostCount() == 0 ? 0 : 1;
}

int runLoad(const command_line &line, const std::vector<std::string> &endpoints)
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
    std::cout << (line.printsJson ? renderJson(totals, report) + '\n' : renderText(totals, report));
    return totals.foreignBodies == 0 && (!report || report->isClean()) ? 0 : 1;
}

} // namespace

/** Load generator with a test oracle, for loopback. Exits with 1 when a check fails and with 2 on wrong usage. @see docs/standins.md */
int main(int argc, char *argv[])
{
    command_line line;
    CLI::App application{"Open-loop HTTP load generator with a test oracle, for loopback"};
    addOptions(application, line);
    CLI11_PARSE(application, argc, argv);

    constexpr int usageError = 2;
    if (const std::string error = resolveOptions(line); !error.empty()) {
        std::cerr << error << '\n';
        return usageError;
    }
    std::vector<std::string> endpoints;
    for (const std::string &text : line.oracles) {
        const auto addresses = expandEndpointRange(text);
        if (addresses.empty()) {
            std::cerr << "--oracle must be IP:PORT[,COUNT] on loopback\n";
            return usageError;
        }
        endpoints.insert(endpoints.end(), addresses.begin(), addresses.end());
    }

    return line.opensIdleConnections ? runIdleConnections(line) : runLoad(line, endpoints);
}
