#include "core/json_checker.h"
#include "entry/admin_responses.h"
#include "entry/admin_task.h"
#include "entry/status_document.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace parsleyglade {

namespace {

using nlohmann::json;

constexpr std::size_t maximumNames = 1000;
constexpr std::size_t maximumAuthorBytes = 128;
constexpr std::int64_t largestExactInteger = (std::int64_t{1} << 53) - 1;
constexpr int statusOk = 200;
constexpr int statusCreated = 201;

drain_scope scopeOf(const std::string &kind)
{
    if (kind == "host") {
        return drain_scope::host;
    }
    return kind == "rack" ? drain_scope::rack : drain_scope::data_centre;
}

std::set<std::string> readNames(json_checker &body, std::string_view key)
{
    std::set<std::string> names;
    if (body.has(key)) {
        for (json_checker &element : body.member(key).elements(0, maximumNames)) {
            names.insert(element.identifier());
        }
    }
    return names;
}

std::string readText(json_checker &body, std::string_view key, std::size_t maximumBytes)
{
    return body.has(key) ? body.member(key).text(0, maximumBytes) : std::string();
}

/** Sets a record's identifier to that of the operator's command, which makes repeated commands idempotent. */
wire::fleet_record withIdentifier(wire::fleet_record record, std::int64_t identifier)
{
    record.record = identifier;
    return record;
}

} // namespace

void admin_task::startDrain(const exchange_pointer &exchange, const json &body)
{
    std::vector<failure> failures;
    json_checker checker(body, failures);
    checker.checkObject({"request", "kind", "subject"}, {"author", "reason"});
    const std::int64_t request = checker.member("request").integer(1, largestExactInteger);
    const std::string kind = checker.member("kind").oneOf({"host", "rack", "data-centre"});
    const std::string subject = checker.member("subject").identifier();
    const std::string author = readText(checker, "author", maximumAuthorBytes);
    if (!failures.empty()) {
        exchange->respond(adminErrorResponse(failures));
        return;
    }

    const fleet_drain drain{request, scopeOf(kind), subject, author, 0};
    json hosts = json::array();
    for (const fleet_host &host : m_context.fleet.publishedHosts().hosts) {
        if (drain.covers(host.name, host.rack, host.dataCentre)) {
            hosts.push_back(host.name);
        }
    }
    if (hosts.empty()) {
        exchange->respond(adminErrorResponse({{result_code::unknown_host, "no published host belongs to " + kind + ' ' + subject, "/subject"}}));
        return;
    }

    availability_budget budget(m_context.fleet.publishedHosts(), m_context.fleet.fold().state(), m_context.planner.health());
    for (const json &host : hosts) {
        if (!budget.tryChargeHost(host)) {
            const std::string reason
                = "the availability budget of pool " + budget.poolOf(host) + " does not allow host " + host.get<std::string>() + " to leave service as well";
            exchange->respond(adminErrorResponse({{result_code::budget_exceeded, reason, "/subject"}}));
            return;
        }
    }

    const auto record = withIdentifier(m_context.fleet.newRecord().drainStarted(drain.scope, subject, author), request);
    m_context.fleet.append(record, [exchange, hosts](const outcome<std::int64_t> &result) {
        if (!result) {
            exchange->respond(adminErrorResponse(result.failures()));
            return;
        }
        exchange->respond(adminResponse(statusCreated, {{"id", std::to_string(*result)}, {"hosts", hosts}}));
    });
}

void admin_task::endDrain(const exchange_pointer &exchange, const std::string &id)
{
    std::int64_t drain = 0;
    std::from_chars(id.data(), id.data() + id.size(), drain);
    if (!m_context.fleet.fold().state().drains.contains(drain)) {
        exchange->respond(adminErrorResponse({{result_code::drain_not_found, "no drain with this identifier exists", {}}}));
        return;
    }

    m_context.fleet.append(m_context.fleet.newRecord().drainEnded(drain, "operator"), [exchange, id](const outcome<std::int64_t> &result) {
        exchange->respond(result ? adminResponse(statusOk, {{"id", id}}) : adminErrorResponse(result.failures()));
    });
}

void admin_task::planWave(const exchange_pointer &exchange, const json &body)
{
    std::vector<failure> failures;
    json_checker checker(body, failures);
    checker.checkObject({"request"}, {"pools", "racks", "dataCentres", "author", "reason"});
    const std::int64_t request = checker.member("request").integer(1, largestExactInteger);
    const std::set<std::string> pools = readNames(checker, "pools");
    const std::set<std::string> racks = readNames(checker, "racks");
    const std::set<std::string> dataCentres = readNames(checker, "dataCentres");
    const std::string author = readText(checker, "author", maximumAuthorBytes);
    if (!failures.empty()) {
        exchange->respond(adminErrorResponse(failures));
        return;
    }

    const auto isSelected = [&](const fleet_host &host) {
        const bool isNamed = (pools.empty() || pools.contains(host.pool)) && (racks.empty() || racks.contains(host.rack))
            && (dataCentres.empty() || dataCentres.contains(host.dataCentre));
        return isNamed;
    };
    const wave_plan plan
        = wave_planner(wave_settings{}).planCycle(m_context.fleet.publishedHosts(), m_context.fleet.fold().state(), m_context.planner.health(), isSelected);
    if (!plan.blocked.empty() || plan.batches.empty()) {
        std::string names;
        for (const std::string &host : plan.blocked) {
            names += ' ' + host;
        }
        const std::string reason
            = plan.batches.empty() ? "the selection matches no published host" : "no availability budget allows these hosts to leave service:" + names;
        exchange->respond(adminErrorResponse({{plan.blocked.empty() ? result_code::unknown_host : result_code::budget_exceeded, reason, {}}}));
        return;
    }

    const std::string wave = "wave-" + std::to_string(request);
    appendWave(exchange, wave, withIdentifier(m_context.fleet.newRecord().wavePlanned(wave, plan.batches, 0, author), request));
}

void admin_task::changeWave(const exchange_pointer &exchange, const std::string &wave, const std::string &action)
{
    const auto found = m_context.fleet.fold().state().waves.find(wave);
    if (found == m_context.fleet.fold().state().waves.end()) {
        exchange->respond(adminErrorResponse({{result_code::wave_not_found, "no wave with this name exists", {}}}));
        return;
    }

    const std::map<std::string, wire::fleet_action::type> actions{
        {"start", wire::fleet_action::wave_started}, {"pause", wire::fleet_action::wave_paused}, {"abort", wire::fleet_action::wave_aborted}};
    const auto knownAction = actions.find(action);
    if (knownAction == actions.end()) {
        exchange->respond(adminErrorResponse({{result_code::unknown_route, "unknown wave action; a wave can be started, paused or aborted", {}}}));
        return;
    }
    appendWave(exchange, wave, m_context.fleet.newRecord().waveChanged(knownAction->second, wave, found->second.version, "operator", action));
}

void admin_task::appendWave(const exchange_pointer &exchange, const std::string &wave, const wire::fleet_record &record)
{
    m_context.fleet.append(record, [this, exchange, wave](const outcome<std::int64_t> &result) {
        const auto found = m_context.fleet.fold().state().waves.find(wave);
        if (!result || found == m_context.fleet.fold().state().waves.end()) {
            const failure reason = result ? failure{result_code::wave_state, "the wave no longer exists", {}} : result.lastReason();
            exchange->respond(adminErrorResponse({{reason.code == result_code::move_conflict ? result_code::wave_state : reason.code, reason.reason, {}}}));
            return;
        }
        exchange->respond(adminResponse(statusOk, waveJson(wave, found->second, m_context.fleet.publishedHosts())));
    });
}

} // namespace parsleyglade
