#include "entry/admin_task.h"

#include "core/digest.h"
#include "core/json_checker.h"
#include "entry/admin_responses.h"
#include "entry/status_document.h"

namespace parsleyglade {

namespace {

using nlohmann::json;

constexpr std::string_view drainsPath = "/v1/drains/";
constexpr std::string_view wavesPath = "/v1/waves/";
constexpr std::size_t maximumBodyBytes = std::size_t{1024} * 1024;
constexpr std::size_t maximumConnections = 64;
constexpr int statusOk = 200;
constexpr int statusNotReady = 503;

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

bool startsWith(const std::string &text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

admin_task::admin_task(admin_context context)
    : m_context(std::move(context))
    , m_report(m_context)
    , m_server(
          m_context.loop, makeServerSettings(m_context.settings), [this](const exchange_pointer &exchange) { handle(exchange); },
          [](result_code code) {
              return adminErrorResponse({{code, std::string(describe(code).remedy), {}}});
          })
{
}

outcome<std::uint16_t> admin_task::start()
{
    return m_server.listen();
}

bool admin_task::isAuthorized(const http_request &request) const
{
    const auto token = findBearerToken(request.headers);
    return token && equalSecrets(toHex(sha256(*token)), m_context.settings.operatorTokenSha256);
}

void admin_task::handle(const exchange_pointer &exchange)
{
    const http_request &request = exchange->request();
    // The platform's load balancer checks health without a token, so these responses contain nothing else.
    if (request.path == "/healthz") {
        exchange->respond(adminResponse(statusOk, {{"healthy", true}}));
        return;
    }
    if (request.path == "/readyz") {
        const bool isReady = m_context.isReady();
        exchange->respond(adminResponse(isReady ? statusOk : statusNotReady, {{"ready", isReady}}));
        return;
    }
    if (request.path == "/metrics") {
        exchange->respond({statusOk, {{"Content-Type", metricsContentType}}, m_report.metricsPage()});
        return;
    }
    if (!isAuthorized(request)) {
        exchange->respond(adminErrorResponse({{result_code::not_authenticated, "the operator token is missing or wrong", {}}}));
        return;
    }

    const bool isHandled = request.method == "GET" ? handleRead(exchange) : handleChange(exchange);
    if (!isHandled) {
        exchange->respond(adminErrorResponse({{result_code::unknown_route, "the operators' interface has no such method and path", {}}}));
    }
}

bool admin_task::handleRead(const exchange_pointer &exchange)
{
    const std::string &path = exchange->request().path;
    if (path == "/v1/status") {
        sendStatus(exchange);
    } else if (path == "/v1/tables") {
        sendTables(exchange);
    } else if (path == "/v1/burn") {
        sendBurn(exchange);
    } else {
        return false;
    }
    return true;
}

bool admin_task::handleChange(const exchange_pointer &exchange)
{
    const http_request &request = exchange->request();
    if (request.method == "POST" && request.path == "/v1/publish") {
        withBody(exchange, &admin_task::publish);
    } else if (request.method == "POST" && request.path == "/v1/drains") {
        withBody(exchange, &admin_task::startDrain);
    } else if (request.method == "POST" && request.path == "/v1/waves") {
        withBody(exchange, &admin_task::planWave);
    } else if (request.method == "DELETE" && startsWith(request.path, drainsPath)) {
        endDrain(exchange, request.path.substr(drainsPath.size()));
    } else if (request.method == "POST" && startsWith(request.path, wavesPath) && request.path.rfind('/') > wavesPath.size()) {
        const auto slash = request.path.rfind('/');
        changeWave(exchange, request.path.substr(wavesPath.size(), slash - wavesPath.size()), request.path.substr(slash + 1));
    } else {
        return false;
    }
    return true;
}

void admin_task::withBody(const exchange_pointer &exchange, body_handler handler)
{
    const auto body = json_checker::parse(exchange->request().body, maximumBodyBytes);
    if (!body) {
        exchange->respond(adminErrorResponse(body.failures()));
        return;
    }
    (this->*handler)(exchange, *body);
}

std::vector<std::string> admin_task::registeredEntryHosts() const
{
    std::vector<std::string> names;
    for (const auto &[entryHost, registration] : m_context.fleet.fold().state().entryHosts) {
        if (registration.active) {
            names.push_back(entryHost);
        }
    }
    return names;
}

void admin_task::sendStatus(const exchange_pointer &exchange)
{
    gatherDocuments(m_context.loop, m_context.peers, registeredEntryHosts(), "status", [this, exchange](const gathered_documents &others) {
        exchange->respond(adminResponse(statusOk, makeStatus(m_context, makeLocalStatus(m_context, m_refusals), others)));
    });
}

void admin_task::sendTables(const exchange_pointer &exchange)
{
    const auto published = m_context.configuration.current();
    exchange->respond(adminResponse(statusOk,
                                    {{"revision", m_context.configuration.fold().revision()},
                                     {"digest", toHex(m_context.configuration.fold().digest())},
                                     {"routes", json::parse(published->routes().canonicalJson())},
                                     {"pools", json::parse(published->pools().canonicalJson())}}));
}

void admin_task::publish(const exchange_pointer &exchange, const json &body)
{
    std::vector<failure> failures;
    json_checker checker(body, failures);
    if (!checker.checkObject({"request", "baseRevision", "routes", "pools"}, {"author", "note"})) {
        exchange->respond(adminErrorResponse(failures));
        return;
    }

    constexpr std::int64_t largestExactInteger = (std::int64_t{1} << 53) - 1;
    publication requested;
    requested.id = checker.member("request").integer(1, largestExactInteger);
    requested.baseRevision = static_cast<revision_number>(checker.member("baseRevision").integer(0, largestExactInteger));
    requested.author = checker.has("author") ? checker.member("author").text(0, configuration_fold::maximumAuthorBytes) : std::string();
    requested.note = checker.has("note") ? checker.member("note").text(0, configuration_fold::maximumNoteBytes) : std::string();
    if (!failures.empty()) {
        exchange->respond(adminErrorResponse(failures));
        return;
    }

    requested.routes = body["routes"].dump();
    requested.pools = body["pools"].dump();
    m_context.configuration.publish(requested, [exchange](const publish_result &result) {
        if (result.accepted) {
            exchange->respond(adminResponse(statusOk, {{"revision", result.revision}}));
            return;
        }
        exchange->respond(adminErrorResponse(result.failures, {{"currentRevision", result.revision}}));
    });
}

void admin_task::sendBurn(const exchange_pointer &exchange)
{
    gatherDocuments(m_context.loop, m_context.peers, registeredEntryHosts(), "burn", [this, exchange](const gathered_documents &others) {
        const burn_summary summary = m_report.summary(others);
        const std::string &query = exchange->request().query;
        if (query == "format=html") {
            exchange->respond({statusOk, {{"Content-Type", "text/html; charset=utf-8"}}, renderHtml(summary)});
        } else if (query == "format=text") {
            exchange->respond({statusOk, {{"Content-Type", "text/plain; charset=utf-8"}}, renderText(summary)});
        } else {
            exchange->respond({statusOk, {{"Content-Type", "application/json"}}, renderJson(summary)});
        }
    });
}

void admin_task::tablesChanged()
{
    m_report.tablesChanged();
}

void admin_task::fleetChanged()
{
    m_report.fleetChanged();
}

void admin_task::jobEnded(const job &ended, const job_outcome &outcome, duration elapsed)
{
    m_report.jobEnded(ended, outcome, elapsed);
    if (outcome.code != result_code::ok) {
        m_refusals.removeExpired(m_context.loop.wallNow());
        m_refusals.add(ended.matchedRoute.pool, outcome.code, outcome.reason, m_context.loop.wallNow());
    }
}

bool admin_task::serve(wire::peer_message &message, const peer_server::reply_function &reply)
{
    if (!message.__isset.document) {
        return false;
    }

    wire::document_reply document;
    const bool isStatus = message.document.document == "status";
    document.json = (isStatus ? makeLocalStatus(m_context, m_refusals) : m_report.document()).dump(-1, ' ', false, json::error_handler_t::replace);
    wire::peer_message response;
    response.__set_documentReply(document);
    reply(response);
    return true;
}

} // namespace parsleyglade
