#include "entry/status_document.h"

#include "core/digest.h"

#include <algorithm>
#include <set>

namespace parsleyglade {

namespace {

using nlohmann::json;

std::int64_t milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

std::string stateOf(const host_membership &row)
{
    constexpr std::array<std::string_view, 4> stages{"serving", "leaving", "drained", "joining"};
    if (row.stage != move_stage::serving) {
        return std::string(stages.at(static_cast<std::size_t>(row.stage))) + (row.toPool.empty() ? "" : " to " + row.toPool);
    }
    return row.isUsable() ? "serving" : std::string(name(row.reasons.front()));
}

std::int64_t sinceOf(const fleet_host &host, const fleet_state &state)
{
    std::int64_t since = 0;
    const auto assignment = state.hosts.find(host.name);
    if (assignment != state.hosts.end() && assignment->second.isLeaving()) {
        since = assignment->second.startedWallMilliseconds;
    }
    for (const auto &[id, drain] : state.drains) {
        if (drain.covers(host.name, host.rack, host.dataCentre)) {
            since = since == 0 ? drain.wallMilliseconds : std::min(since, drain.wallMilliseconds);
        }
    }
    return since;
}

json makeHostRows(const admin_context &context)
{
    std::map<std::string, const fleet_host *> published;
    for (const fleet_host &host : context.fleet.publishedHosts().hosts) {
        published[host.name] = &host;
    }

    json rows = json::array();
    for (const host_membership &row : context.fleet.memberships()) {
        const fleet_host &host = *published.at(row.host);
        const endpoint_observation observation = context.endpoints.observation(row.host);
        json reasons = json::array();
        for (const membership_reason reason : row.reasons) {
            reasons.push_back(name(reason));
        }
        rows.push_back({{"host", row.host},
                        {"pool", row.pool},
                        {"dataCentre", host.dataCentre},
                        {"rack", host.rack},
                        {"state", stateOf(row)},
                        {"reasons", reasons},
                        {"waitsFor", row.missingAcknowledgements},
                        {"sinceMilliseconds", sinceOf(host, context.fleet.fold().state())},
                        {"nextStep", row.nextStep()},
                        {"inFlight", observation.inFlight},
                        {"running", observation.running}});
    }
    return rows;
}

std::string scopeName(drain_scope scope)
{
    switch (scope) {
    case drain_scope::host:
        return "host";
    case drain_scope::rack:
        return "rack";
    case drain_scope::data_centre:
        break;
    }
    return "data-centre";
}

json drains(const admin_context &context, const json &hosts)
{
    json rows = json::array();
    for (const auto &[id, drain] : context.fleet.fold().state().drains) {
        std::int64_t busy = 0;
        for (const json &host : hosts) {
            const bool isCovered = drain.covers(host["host"], host["rack"], host["dataCentre"]);
            busy += isCovered && (host["running"] != 0 || host["inFlight"] != 0) ? 1 : 0;
        }
        rows.push_back({{"id", std::to_string(id)},
                        {"kind", scopeName(drain.scope)},
                        {"subject", drain.subject},
                        {"author", drain.author},
                        {"sinceMilliseconds", drain.wallMilliseconds},
                        {"hostsRemaining", busy}});
    }
    return rows;
}

json entryRow(const std::string &entryHost, const std::string &dataCentre, const json &document, std::int64_t age)
{
    return {{"name", entryHost},
            {"dataCentre", dataCentre},
            {"asked", true},
            {"reason", ""},
            {"revision", document.value("revision", 0)},
            {"digest", document.value("digest", "")},
            {"logReachable", document.value("logReachable", false)},
            {"ready", document.value("ready", false)},
            {"knowledgeAgeMilliseconds", age}};
}

/** Selects each host's row: from an entry host in its data centre, or from this entry host when none replied. */
json mergedHosts(const json &own, const std::map<std::string, outcome<json>> &others)
{
    std::map<std::string, json> byHost;
    for (const json &row : own["hosts"]) {
        byHost[row["host"]] = row;
    }
    for (const auto &[entryHost, document] : others) {
        if (!document) {
            continue;
        }
        for (const json &row : document->value("hosts", json::array())) {
            const auto known = byHost.find(row.value("host", ""));
            const bool isFromOwnDataCentre = row.value("dataCentre", "") == document->value("dataCentre", "");
            if (isFromOwnDataCentre && known != byHost.end() && row.value("dataCentre", "") != own["dataCentre"]) {
                known->second = row;
            }
        }
    }

    json rows = json::array();
    for (const auto &[host, row] : byHost) {
        rows.push_back(row);
    }
    return rows;
}

void addRefusals(json &merged, const json &document, const std::string &entryHost)
{
    for (json row : document.value("refusals", json::array())) {
        row["what"] = row.value("what", "") + " at " + entryHost;
        merged.push_back(std::move(row));
    }
}

} // namespace

json makeLocalStatus(const admin_context &context, const refusal_counter &refusals)
{
    const configuration_fold &fold = context.configuration.fold();
    const auto age = [&](const std::optional<time_point> &at) {
        return at ? json(milliseconds(context.loop.now() - *at)) : json(nullptr);
    };
    json pools = json::array();
    for (const auto &row : context.jobs.dispatch().status()) {
        pools.push_back({{"pool", row.pool},
                         {"queued", row.queued},
                         {"running", row.running},
                         {"usableEndpoints", row.usableEndpoints},
                         {"ejectedEndpoints", row.ejectedEndpoints},
                         {"expectedRunMilliseconds", milliseconds(row.expectedRun)}});
    }
    json streams = json::array();
    for (const auto &[stream, streamStatus] : context.claims.status()) {
        streams.push_back({{"stream", stream},
                           {"caughtUp", streamStatus.isCaughtUp},
                           {"nextOffset", streamStatus.nextOffset},
                           {"claims", streamStatus.weight},
                           {"openClaims", streamStatus.openClaims},
                           {"appends", streamStatus.appends},
                           {"appendedBytes", streamStatus.appendedBytes}});
    }

    return {{"entryHost", context.settings.entryHost},
            {"dataCentre", context.settings.dataCentre},
            {"region", context.settings.region},
            {"ready", context.isReady()},
            {"revision", fold.revision()},
            {"digest", toHex(fold.digest())},
            {"configurationOffset", fold.nextOffset()},
            {"fleetOffset", context.fleet.fold().nextOffset()},
            {"fleetDigest", toHex(context.fleet.fold().digest())},
            {"registered", context.fleet.fold().isRegistered(context.peers.incarnation())},
            {"logReachable", context.configuration.isLogReachable()},
            {"logAgeMilliseconds", age(context.configuration.follower().lastContact())},
            {"hostListAgeMilliseconds", age(context.fleet.hostListFetchedAt())},
            {"staleReads", context.configuration.follower().staleReads()},
            {"activeJobs", context.jobs.activeJobs()},
            {"connections", context.callers.connectionCount()},
            {"hosts", makeHostRows(context)},
            {"pools", pools},
            {"coordinates", streams},
            {"refusals", refusals.toJson()}};
}

json waveJson(const std::string &name, const maintenance_wave &wave, const fleet_tables &published)
{
    constexpr std::array<std::string_view, 5> states{"planned", "running", "paused", "aborted", "finished"};
    constexpr std::array<std::string_view, 5> nextSteps{"start it", "drain the next hosts", "start it again, or abort it", "none", "none"};
    std::map<std::string, std::string> poolOfHost;
    for (const fleet_host &host : published.hosts) {
        poolOfHost[host.name] = host.pool;
    }

    json steps = json::array();
    std::size_t planned = 0;
    for (const auto &batch : wave.batches) {
        std::set<std::string> pools;
        for (const std::string &host : batch) {
            pools.insert(poolOfHost[host]);
        }
        planned += batch.size();
        steps.push_back({{"hosts", batch}, {"pools", pools}});
    }

    const auto state = static_cast<std::size_t>(wave.state);
    return {{"id", name},
            {"state", states.at(state)},
            {"nextStep", nextSteps.at(state)},
            {"hostsDone", wave.completedHosts.size()},
            {"hostsPlanned", planned},
            {"sinceMilliseconds", wave.changedWallMilliseconds},
            {"reason", wave.reason},
            {"author", wave.author},
            {"steps", steps}};
}

json makeStatus(const admin_context &context, const json &own, const std::map<std::string, outcome<json>> &others)
{
    json status{{"answeredBy", own["entryHost"]},
                {"revision", own["revision"]},
                {"digest", own["digest"]},
                {"wallMilliseconds", context.loop.wallNow().time_since_epoch().count()},
                {"own", own}};
    status["entryHosts"].push_back(entryRow(own["entryHost"], own["dataCentre"], own, 0));
    status["refusals"] = json::array();
    addRefusals(status["refusals"], own, own["entryHost"]);

    for (const auto &[entryHost, document] : others) {
        if (document) {
            status["entryHosts"].push_back(entryRow(entryHost, document->value("dataCentre", ""), *document, 0));
            addRefusals(status["refusals"], *document, entryHost);
            continue;
        }
        json row{{"name", entryHost}, {"dataCentre", ""}, {"asked", false},        {"reason", document.lastReason().reason},
                 {"revision", 0},     {"digest", ""},     {"logReachable", false}, {"knowledgeAgeMilliseconds", 0}};
        for (const peer_state &peer : context.peers.knownPeers()) {
            if (peer.identity.entryHost == entryHost) {
                row["dataCentre"] = peer.identity.dataCentre;
                row["revision"] = peer.heartbeat.configurationRevision;
                row["digest"] = toHex(peer.heartbeat.configurationDigest);
                row["knowledgeAgeMilliseconds"] = milliseconds(context.loop.now() - peer.lastHeartbeatAt);
            }
        }
        status["entryHosts"].push_back(std::move(row));
    }

    status["hosts"] = mergedHosts(own, others);
    status["drains"] = drains(context, status["hosts"]);
    status["waves"] = json::array();
    for (const auto &[name, wave] : context.fleet.fold().state().waves) {
        status["waves"].push_back(waveJson(name, wave, context.fleet.publishedHosts()));
    }
    return status;
}

} // namespace parsleyglade
