#include "operator_client/operator_commands.h"

#include "core/digest.h"
#include "core/json_checker.h"
#include "operator_client/failure_list.h"
#include "operator_client/http_exchange.h"
#include "operator_client/json_fields.h"
#include "operator_client/rollout_progress.h"
#include "operator_client/status_text.h"
#include "operator_client/teams_text.h"
#include "operator_client/text_columns.h"

#include <ostream>

namespace parsleyglade {

namespace {

using nlohmann::json;

constexpr int jsonIndent = 2;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

exit_code writeFailures(const command_output &output, exit_code code, const std::vector<failure> &failures)
{
    if (output.json) {
        // A reason may quote bytes of a response that are not valid UTF-8.
        const json document = {{"exitCode", static_cast<int>(code)}, {"failures", failureJson(failures)}};
        output.result << document.dump(jsonIndent, ' ', false, json::error_handler_t::replace) << '\n';
    } else {
        output.messages << failureText(failures);
    }
    return code;
}

/** The tables read from files. The exit code distinguishes a file that can't be read (usage) from an invalid table (refused). */
struct loaded_tables
{
    exit_code code = exit_code::ok;
    outcome<tables> value;
};

loaded_tables loadTables(const table_files &files)
{
    const outcome<std::string> routes = readFile(files.routes, maximumTableBytes);
    const outcome<std::string> pools = readFile(files.pools, maximumTableBytes);
    for (const outcome<std::string> *file : {&routes, &pools}) {
        if (!*file) {
            const bool isTooLarge = file->lastReason().code == result_code::table_too_large;
            return {isTooLarge ? exit_code::refused : exit_code::usage, file->failures()};
        }
    }

    outcome<tables> parsed = parseTables(*routes, *pools);
    return {parsed ? exit_code::ok : exit_code::refused, std::move(parsed)};
}

exit_code exitCodeOf(const admin_response &response, const std::vector<failure> &failures)
{
    if (response.status == 401 || response.status == 403) {
        return exit_code::not_authenticated;
    }
    if (failures.empty()) {
        return exit_code::unexpected_response;
    }
    switch (failures.front().code) {
    case result_code::revision_conflict:
        return exit_code::revision_conflict;
    case result_code::log_append_unknown:
        return exit_code::result_unknown;
    case result_code::internal_error:
        return exit_code::unexpected_response;
    default:
        return exit_code::refused;
    }
}

std::string encodedPathSegment(const std::string &text)
{
    constexpr std::string_view unreserved = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    std::string result;
    for (const char character : text) {
        if (unreserved.find(character) != std::string_view::npos) {
            result += character;
        } else {
            result += '%' + toHex({&character, 1});
        }
    }
    return result;
}

std::string tablesText(const tables &value)
{
    text_columns routes({"route", "method", "path", "pool", "idempotent", "urgency", "deadline ms", "declared ms", "team"});
    for (const route &each : value.routes().routes()) {
        routes.add({each.name, each.method, each.path, each.pool, each.idempotent ? "yes" : "no", std::string(name(each.urgency)),
                    std::to_string(each.deadlineMilliseconds), std::to_string(each.declaredRunMilliseconds), each.team});
    }
    text_columns pools({"pool", "service", "region", "spare", "objective", "minimum", "hosts", "slots", "team"});
    text_columns hosts({"host", "pool", "data centre", "rack", "address"});
    for (const pool &each : value.pools().pools()) {
        pools.add({each.name, each.service, each.region, each.spare ? "yes" : "no", json(each.availabilityObjective).dump(), std::to_string(each.minimumHosts),
                   std::to_string(each.hosts.size()), std::to_string(each.slotsPerHost), each.team});
        for (const pool_host &host : each.hosts) {
            hosts.add({host.host, each.name, host.dataCentre, host.rack, host.address});
        }
    }
    return "routes:\n" + routes.text() + "\npools:\n" + pools.text() + "\nhosts:\n" + hosts.text();
}

} // namespace

operator_commands::operator_commands(admin_client &client, command_output output, std::mt19937_64 random)
    : m_client(client)
    , m_output(output)
    , m_random(random)
{
}

exit_code operator_commands::validate(const table_files &files, const command_output &output)
{
    const loaded_tables loaded = loadTables(files);
    if (!loaded.value) {
        return writeFailures(output, loaded.code, loaded.value.failures());
    }

    const tables &value = *loaded.value;
    const std::size_t routes = value.routes().routes().size();
    const std::size_t pools = value.pools().pools().size();
    const std::string digest = toHex(value.digest());
    if (output.json) {
        const json document = {{"valid", true}, {"routes", routes}, {"pools", pools}, {"hosts", value.pools().hostCount()}, {"tablesDigest", digest}};
        output.result << document.dump(jsonIndent) << '\n';
    } else {
        output.result << "valid: " << routes << " routes, " << pools << " pools, " << value.pools().hostCount() << " hosts, digest " << digest << '\n';
    }
    return exit_code::ok;
}

exit_code operator_commands::publish(const table_files &files, const publish_options &options)
{
    const loaded_tables loaded = loadTables(files);
    if (!loaded.value) {
        return writeError(loaded.code, loaded.value.failures());
    }

    const json body = {
        {"request", newIdentifier()},
        {"baseRevision", options.baseRevision},
        {"routes", json::parse(loaded.value->routes().canonicalJson())},
        {"pools", json::parse(loaded.value->pools().canonicalJson())},
        {"author", options.author},
        {"note", options.note},
    };
    const request_result published = send({"POST", "/v1/publish", body}, true);
    if (published.code == exit_code::revision_conflict) {
        return reportConflict(published, *loaded.value, options.baseRevision);
    }
    if (published.code != exit_code::ok) {
        return writeError(published.code, published.failures);
    }

    const std::int64_t revision = integerField(published.body, "revision");
    if (revision <= 0) {
        return writeError(exit_code::unexpected_response, {{result_code::internal_error, "the response to the publish request has no revision", {}}});
    }
    if (!options.wait) {
        return writeResult(published.body, "published as revision " + std::to_string(revision) + "\n");
    }
    return waitForRollout(published.body, static_cast<revision_number>(revision), options);
}

exit_code operator_commands::show(const table_files &files)
{
    const request_result result = sendAndReport({"GET", "/v1/tables", {}});
    if (result.code != exit_code::ok) {
        return result.code;
    }

    const outcome<tables> current = currentTables(result.body);
    if (!current) {
        return writeError(exit_code::unexpected_response, current.failures());
    }

    const std::pair<const std::string &, const char *> targets[] = {{files.routes, "routes"}, {files.pools, "pools"}};
    for (const auto &[path, key] : targets) {
        if (path.empty()) {
            continue;
        }
        const outcome<bool> written = writeFile(path, objectField(result.body, key).dump(jsonIndent) + "\n");
        if (!written) {
            return writeError(exit_code::usage, written.failures());
        }
    }

    return writeResult(result.body,
                       "revision " + std::to_string(integerField(result.body, "revision")) + ", digest " + textField(result.body, "digest") + "\n\n"
                           + tablesText(*current));
}

exit_code operator_commands::diff(const table_files &files)
{
    const loaded_tables loaded = loadTables(files);
    if (!loaded.value) {
        return writeError(loaded.code, loaded.value.failures());
    }

    const request_result result = sendAndReport({"GET", "/v1/tables", {}});
    if (result.code != exit_code::ok) {
        return result.code;
    }

    const outcome<tables> current = currentTables(result.body);
    if (!current) {
        return writeError(exit_code::unexpected_response, current.failures());
    }

    const table_diff difference = diffTables(*current, *loaded.value);
    json document = difference.json();
    document["revision"] = integerField(result.body, "revision");
    return writeResult(document, "from revision " + std::to_string(integerField(result.body, "revision")) + " to the files:\n" + difference.text());
}

exit_code operator_commands::status()
{
    const request_result result = sendAndReport({"GET", "/v1/status", {}});
    return result.code == exit_code::ok ? writeResult(result.body, statusText(result.body)) : result.code;
}

exit_code operator_commands::teams()
{
    const request_result result = sendAndReport({"GET", "/v1/teams", {}});
    return result.code == exit_code::ok ? writeResult(result.body, teamsText(result.body)) : result.code;
}

exit_code operator_commands::drain(const drain_target &target, const std::string &author, const std::string &reason)
{
    const json body = {{"request", newIdentifier()}, {"kind", target.kind}, {"subject", target.subject}, {"author", author}, {"reason", reason}};
    const request_result result = sendAndReport({"POST", "/v1/drains", body});
    if (result.code != exit_code::ok) {
        return result.code;
    }
    return writeResult(result.body,
                       "drain " + textField(result.body, "id") + " of " + target.kind + " " + target.subject + " started for "
                           + std::to_string(arrayField(result.body, "hosts").size()) + " hosts\n");
}

exit_code operator_commands::undrain(const drain_target &target)
{
    const request_result status = sendAndReport({"GET", "/v1/status", {}});
    if (status.code != exit_code::ok) {
        return status.code;
    }

    json ended = json::array();
    std::string text;
    for (const json &each : arrayField(status.body, "drains")) {
        if (textField(each, "kind") != target.kind || textField(each, "subject") != target.subject) {
            continue;
        }
        const std::string id = textField(each, "id");
        const request_result result = sendAndReport({"DELETE", "/v1/drains/" + encodedPathSegment(id), {}});
        if (result.code != exit_code::ok) {
            return result.code;
        }
        ended.push_back(id);
        text += "drain " + id + " ended\n";
    }

    if (ended.empty()) {
        return writeError(exit_code::refused, {{result_code::drain_not_found, "there is no drain of " + target.kind + " " + target.subject, {}}});
    }
    return writeResult({{"ended", ended}}, text);
}

exit_code operator_commands::planWave(const wave_request &wave)
{
    const json body = {
        {"request", newIdentifier()},      {"pools", wave.pools},   {"racks", wave.racks},
        {"dataCentres", wave.dataCentres}, {"author", wave.author}, {"reason", wave.reason},
    };
    const request_result result = sendAndReport({"POST", "/v1/waves", body});
    return result.code == exit_code::ok ? writeResult(result.body, waveText(result.body)) : result.code;
}

exit_code operator_commands::changeWave(const std::string &id, const std::string &action)
{
    const json body = {{"request", newIdentifier()}};
    const request_result result = sendAndReport({"POST", "/v1/waves/" + encodedPathSegment(id) + "/" + action, body});
    return result.code == exit_code::ok ? writeResult(result.body, waveText(result.body)) : result.code;
}

exit_code operator_commands::reportBurn(const std::string &htmlFile)
{
    if (htmlFile.empty()) {
        // The service renders both the text and the HTML page, so that all readers see the same report.
        const request_result result = sendAndReport({"GET", m_output.json ? "/v1/burn" : "/v1/burn?format=text", {}}, m_output.json);
        return result.code == exit_code::ok ? writeResult(result.body, result.response.body) : result.code;
    }

    const request_result result = sendAndReport({"GET", "/v1/burn?format=html", {}}, false);
    if (result.code != exit_code::ok) {
        return result.code;
    }

    const outcome<bool> written = writeFile(htmlFile, result.response.body);
    return written ? writeResult({{"file", htmlFile}}, "report written to " + htmlFile + "\n") : writeError(exit_code::usage, written.failures());
}

operator_commands::request_result operator_commands::sendAndReport(const admin_request &request, bool expectsJson)
{
    request_result result = send(request, expectsJson);
    if (result.code != exit_code::ok) {
        writeError(result.code, result.failures);
    }
    return result;
}

operator_commands::request_result operator_commands::send(const admin_request &request, bool expectsJson)
{
    const outcome<admin_response> response = m_client.send(request);
    if (!response) {
        const bool isUnknown = request.changesState() && response.lastReason().code != result_code::peer_unreachable;
        return {isUnknown ? exit_code::result_unknown : exit_code::unreachable, {}, {}, response.failures()};
    }

    request_result result{exit_code::ok, *response, {}, {}};
    const bool succeeded = isSuccess(response->status);
    if (succeeded && !expectsJson) {
        return result;
    }

    outcome<json> body = json_checker::parse(response->body, maximumResponseBytes);
    if (body && body->is_object()) {
        result.body = std::move(*body);
        if (succeeded) {
            return result;
        }
        result.failures = failuresOfResponse(result.body);
    }

    result.code = succeeded ? exit_code::unexpected_response : exitCodeOf(*response, result.failures);
    if (result.failures.empty()) {
        const result_code code = result.code == exit_code::not_authenticated ? result_code::not_authenticated : result_code::internal_error;
        result.failures.push_back({code, "the response to " + request.method + " " + request.path + " has status " + std::to_string(response->status), {}});
    }
    return result;
}

outcome<tables> operator_commands::currentTables(const json &response)
{
    return parseTables(objectField(response, "routes").dump(), objectField(response, "pools").dump());
}

exit_code operator_commands::reportConflict(const request_result &conflict, const tables &published, revision_number baseRevision)
{
    const request_result result = send({"GET", "/v1/tables", {}}, true);
    const outcome<tables> current = result.code == exit_code::ok ? currentTables(result.body) : outcome<tables>(failure{});
    json document
        = {{"exitCode", static_cast<int>(exit_code::revision_conflict)}, {"baseRevision", baseRevision}, {"failures", failureJson(conflict.failures)}};
    std::string text = failureText(conflict.failures);
    if (current) {
        const table_diff difference = diffTables(*current, published);
        const std::int64_t revision = integerField(result.body, "revision");
        document["currentRevision"] = revision;
        document["diff"] = difference.json();
        text += "from the current revision " + std::to_string(revision) + " to the files:\n" + difference.text();
    } else {
        text += "cannot fetch the current tables; no differences are shown\n";
    }

    if (m_output.json) {
        m_output.result << document.dump(jsonIndent, ' ', false, json::error_handler_t::replace) << '\n';
    } else {
        m_output.messages << text;
    }
    return exit_code::revision_conflict;
}

exit_code operator_commands::waitForRollout(json result, revision_number revision, const publish_options &options)
{
    const time_point start = m_client.now();
    rollout_progress progress;
    std::string shownLine;
    while (true) {
        const request_result status = send({"GET", "/v1/status", {}}, true);
        std::string line = "cannot fetch the status: " + (status.failures.empty() ? std::string() : status.failures.front().reason);
        if (status.code == exit_code::ok) {
            progress = rollout_progress::fromStatus(status.body, revision);
            line = progress.text(revision);
        }
        if (line != shownLine) {
            m_output.messages << (m_output.isTerminal ? "\r\033[K" : "") << printable(line) << (m_output.isTerminal ? "" : "\n") << std::flush;
            shownLine = line;
        }
        const duration waited = m_client.now() - start;
        const bool isComplete = status.code == exit_code::ok && progress.isComplete();
        if (isComplete || waited + options.pollInterval > options.waitTimeout) {
            m_output.messages << (m_output.isTerminal ? "\n" : "");
            result["inForce"] = isComplete;
            result["waitedMilliseconds"] = std::chrono::duration_cast<std::chrono::milliseconds>(waited).count();
            result["pending"] = progress.pending;
            const std::string published = "published as revision " + std::to_string(revision);
            writeResult(result, published + (isComplete ? ", in force on every entry host\n" : ", not confirmed on every entry host before the timeout\n"));
            return isComplete ? exit_code::ok : exit_code::wait_timed_out;
        }
        m_client.waitFor(options.pollInterval);
    }
}

exit_code operator_commands::writeError(exit_code code, const std::vector<failure> &failures)
{
    return writeFailures(m_output, code, failures);
}

exit_code operator_commands::writeResult(const json &document, const std::string &text)
{
    if (m_output.json) {
        m_output.result << document.dump(jsonIndent) << '\n';
    } else {
        m_output.result << text;
    }
    return exit_code::ok;
}

std::int64_t operator_commands::newIdentifier()
{
    // JSON parsers that store numbers as doubles represent integers exactly up to 2^53.
    constexpr std::int64_t maximumIdentifier = (std::int64_t{1} << 53) - 1;
    return std::uniform_int_distribution<std::int64_t>(1, maximumIdentifier)(m_random);
}

} // namespace parsleyglade
