#include "entry/admin_task.h"

#include "core/digest.h"
#include "entry/answers.h"
#include "transport/socket_address.h"

namespace parsleyglade {

namespace {

constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t maximumBodyBytes = std::size_t{1024} * 1024;
constexpr std::size_t maximumConnections = 64;

http_server_settings makeServerSettings(const entry_settings &settings)
{
    http_server_settings made;
    const auto address = parseSocketAddress(settings.adminAddress);
    made.address = address ? address->address : std::string();
    made.port = address ? address->port : std::uint16_t{0};
    made.maximumConnections = maximumConnections;
    made.maximumBodyBytes = maximumBodyBytes;
    return made;
}

http_response jsonResponse(int status, const nlohmann::json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

} // namespace

admin_task::admin_task(event_loop &loop, const entry_settings &settings, admin_context context)
    : m_loop(loop)
    , m_settings(settings)
    , m_context(std::move(context))
    , m_server(
          loop, makeServerSettings(settings), [this](const exchange_pointer &exchange) { handle(exchange); },
          [](result_code code) { return makeRefusal(code, {}); })
{
}

outcome<std::uint16_t> admin_task::start()
{
    return m_server.listen();
}

bool admin_task::isAuthorized(const http_request &request) const
{
    const auto header = findHeader(request.headers, "Authorization");
    return header && header->substr(0, bearer.size()) == bearer && equalSecrets(toHex(sha256(header->substr(bearer.size()))), m_settings.operatorTokenSha256);
}

void admin_task::handle(const exchange_pointer &exchange)
{
    const http_request &request = exchange->request();
    // The platform's balancer asks for health without a token; the answers tell nothing else.
    if (request.path == "/healthz") {
        exchange->respond(jsonResponse(200, {{"healthy", true}}));
        return;
    }
    if (request.path == "/readyz") {
        const bool isReady = m_context.isReady();
        exchange->respond(jsonResponse(isReady ? 200 : 503, {{"ready", isReady}}));
        return;
    }
    if (!isAuthorized(request)) {
        exchange->respond(makeRefusal(result_code::not_authenticated, {}));
        return;
    }

    if (request.method == "GET" && request.path == "/v1/status") {
        handleStatus(exchange);
    } else if (request.method == "POST" && request.path == "/v1/publish") {
        handlePublish(exchange);
    } else {
        exchange->respond(makeRefusal(result_code::unknown_route, "the operators' interface has no such path"));
    }
}

void admin_task::handleStatus(const exchange_pointer &exchange)
{
    exchange->respond(jsonResponse(200, ownStatus()));
}

nlohmann::json admin_task::ownStatus() const
{
    nlohmann::json status{{"entryHost", m_settings.entryHost},
                          {"dataCentre", m_settings.dataCentre},
                          {"revision", m_context.configuration.fold().revision()},
                          {"digest", toHex(m_context.configuration.fold().digest())},
                          {"logReachable", m_context.configuration.isLogReachable()}};
    for (const host_membership &row : m_context.fleet.memberships()) {
        nlohmann::json reasons = nlohmann::json::array();
        for (const membership_reason reason : row.reasons) {
            reasons.push_back(name(reason));
        }
        status["hosts"].push_back({{"host", row.host}, {"pool", row.pool}, {"reasons", reasons}});
    }
    for (const auto &row : m_context.jobs.dispatch().status()) {
        status["pools"].push_back({{"pool", row.pool}, {"queued", row.queued}, {"running", row.running}, {"usable", row.usableEndpoints}});
    }
    for (const auto &[stream, figures] : m_context.claims.status()) {
        status["streams"].push_back({{"stream", stream}, {"nextOffset", figures.nextOffset}, {"openClaims", figures.openClaims}, {"appends", figures.appends}});
    }
    return status;
}

void admin_task::handlePublish(const exchange_pointer &exchange)
{
    const auto body = nlohmann::json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object() || !body.contains("routes") || !body.contains("pools")) {
        exchange->respond(makeRefusal(result_code::invalid_request, "the body must have routes and pools"));
        return;
    }

    m_context.configuration.publish(body.value("baseRevision", revision_number{0}), body["routes"].dump(), body["pools"].dump(), body.value("author", ""),
                                    body.value("note", ""), [exchange](const publish_result &result) {
                                        nlohmann::json answer{{"accepted", result.accepted}, {"decided", result.decided}, {"revision", result.revision}};
                                        for (const failure &reason : result.failures) {
                                            answer["failures"].push_back({{"pointer", reason.pointer}, {"name", name(reason.code)}, {"reason", reason.reason}});
                                        }
                                        exchange->respond(jsonResponse(result.accepted ? 200 : 409, answer));
                                    });
}

void admin_task::jobEnded(const job &, const job_outcome &, duration)
{
}

bool admin_task::serve(wire::peer_message &message, const peer_server::reply_function &reply)
{
    if (!message.__isset.document) {
        return false;
    }

    wire::document_reply document;
    document.json = ownStatus().dump();
    wire::peer_message answer;
    answer.__set_documentReply(document);
    reply(answer);
    return true;
}

} // namespace parsleyglade
