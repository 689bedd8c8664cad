#include "entry/caller_task.h"

#include "core/digest.h"
#include "entry/job_responses.h"
#include "transport/socket_address.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <strings.h>

namespace parsleyglade {

namespace {

constexpr std::string_view jobsPath = "/v1/jobs/";
constexpr std::size_t maximumRequestIdBytes = 64;

/** Maximum number of requests in flight of one caller at one entry host. */
constexpr std::size_t maximumInFlightOfCaller = 2000;

http_server_settings makeServerSettings(const entry_settings &settings)
{
    http_server_settings made;
    const auto address = parseSocketAddress(settings.callerAddress);
    made.address = address ? address->address : std::string();
    made.port = address ? address->port : std::uint16_t{0};
    made.maximumConnections = settings.maximumCallerConnections;
    made.maximumBodyBytes = settings.maximumBodyBytes;
    return made;
}

/** Whether a caller's header is forwarded to the endpoint. The caller's token is withheld, and this entry host sets the other excluded headers. */
bool isForwardedHeader(const std::string &header)
{
    constexpr std::array names{"Authorization", "Host", "Expect", "Request-Id", "Idempotency-Key"};
    return !isHopByHop(header) && std::none_of(names.begin(), names.end(), [&](const char *name) { return ::strcasecmp(name, header.c_str()) == 0; });
}

} // namespace

caller_task::caller_task(event_loop &loop, const entry_settings &settings, job_task &jobs)
    : m_loop(loop)
    , m_jobs(jobs)
    , m_server(
          loop, makeServerSettings(settings), [this](const std::shared_ptr<http_exchange> &exchange) { handle(exchange); },
          [](result_code code) { return makeErrorResponse(code, {}); })
{
    for (const caller_settings &caller : settings.callers) {
        m_callers.emplace(caller.tokenSha256, caller);
    }
}

outcome<std::uint16_t> caller_task::start()
{
    return m_server.listen();
}

void caller_task::setTables(const std::shared_ptr<const tables> &published)
{
    m_tables = published;
}

void caller_task::closeConnectionsAfterResponses()
{
    m_server.closeConnectionsAfterResponses();
}

void caller_task::stopAccepting()
{
    m_server.stopAccepting();
}

bool caller_task::isDrained() const
{
    return m_server.isDrained();
}

std::size_t caller_task::connectionCount() const
{
    return m_server.connectionCount();
}

const caller_settings *caller_task::authenticate(const http_request &request) const
{
    const auto token = findBearerToken(request.headers);
    const auto found = token ? m_callers.find(toHex(sha256(*token))) : m_callers.end();
    return found == m_callers.end() ? nullptr : &found->second;
}

std::string caller_task::requestIdOf(const http_request &request)
{
    const auto receivedId = findHeader(request.headers, "Request-Id");
    const bool isUsable = receivedId && !receivedId->empty() && receivedId->size() <= maximumRequestIdBytes
        && std::all_of(receivedId->begin(), receivedId->end(), [](char character) {
                              return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_' || character == '.';
                          });
    if (isUsable) {
        return std::string(*receivedId);
    }

    const std::uint64_t number = m_random();
    return toHex({reinterpret_cast<const char *>(&number), sizeof(number)});
}

void caller_task::handle(const std::shared_ptr<http_exchange> &exchange)
{
    const http_request &request = exchange->request();
    const std::string requestId = requestIdOf(request);
    const caller_settings *caller = authenticate(request);
    if (caller == nullptr) {
        exchange->respond(makeErrorResponse(result_code::not_authenticated, {}, requestId));
        return;
    }

    if (request.path.compare(0, jobsPath.size(), jobsPath) == 0) {
        handleJobRequest(exchange, *caller, requestId);
        return;
    }

    if (m_tables == nullptr) {
        exchange->respond(
            makeJobResponse({job_state::outcome_unknown, result_code::not_configured, "this entry host has no tables yet", {}, {}}, requestId, std::nullopt));
        return;
    }

    const route *matchedRoute = m_tables->findRoute(request.method, request.path);
    if (matchedRoute == nullptr) {
        const bool isOtherMethod = m_tables->routes().hasPath(request.path);
        refuse(exchange, *caller, isOtherMethod ? result_code::method_not_allowed : result_code::unknown_route, requestId);
        return;
    }

    submit(exchange, *caller, *matchedRoute, requestId);
}

void caller_task::refuse(const std::shared_ptr<http_exchange> &exchange, const caller_settings &caller, result_code code, const std::string &requestId)
{
    const auto header = findHeader(exchange->request().headers, "Idempotency-Key");
    const auto key = header ? job_key::parse(*header) : outcome<job_key>(failure{});
    if (!key) {
        exchange->respond(makeErrorResponse(code, {}, requestId));
        return;
    }

    // The job may have run before its route was changed, so "not run" is reported only when the key is unclaimed.
    m_jobs.query(*key, caller.id(), [exchange, code, requestId, key = *key](const job_outcome &known) {
        const bool isUnclaimed = known.jobState == job_state::not_run;
        exchange->respond(isUnclaimed ? makeErrorResponse(code, {}, requestId) : makeJobResponse(known, requestId, key));
    });
}

outcome<std::optional<job_key>> caller_task::readKey(const http_request &request, const route &matchedRoute)
{
    const auto header = findHeader(request.headers, "Idempotency-Key");
    if (!header) {
        if (!matchedRoute.idempotent) {
            return failure{result_code::key_required, "the route is not idempotent, so the request needs an Idempotency-Key header", {}};
        }
        return std::optional<job_key>{};
    }

    const auto key = job_key::parse(*header);
    if (!key) {
        return key.lastReason();
    }
    return std::optional<job_key>{*key};
}

void caller_task::submit(const std::shared_ptr<http_exchange> &exchange, const caller_settings &caller, const route &matchedRoute, const std::string &requestId)
{
    const http_request &request = exchange->request();
    if (request.body.size() > static_cast<std::size_t>(matchedRoute.maximumBodyBytes)) {
        refuse(exchange, caller, result_code::body_too_large, requestId);
        return;
    }

    const auto key = readKey(request, matchedRoute);
    if (!key) {
        exchange->respond(makeErrorResponse(key.lastReason().code, key.lastReason().reason, requestId));
        return;
    }

    std::size_t &inFlight = m_inFlight[caller.id()];
    if (inFlight >= maximumInFlightOfCaller) {
        const job_state state = matchedRoute.idempotent ? job_state::not_run : job_state::outcome_unknown;
        exchange->respond(makeJobResponse({state, result_code::caller_over_limit, {}, m_jobs.dispatch().retryAfter(), {}}, requestId, *key));
        return;
    }

    ++inFlight;
    const auto accepted = std::make_shared<job>();
    accepted->matchedRoute = matchedRoute;
    accepted->caller = caller.name;
    accepted->callerId = caller.id();
    accepted->share = caller.share;
    accepted->key = *key;
    accepted->requestId = requestId;
    accepted->request = {request.method, request.path, request.query, {}, request.body};
    std::copy_if(request.headers.begin(), request.headers.end(), std::back_inserter(accepted->request.headers),
                 [](const http_header &header) { return isForwardedHeader(header.first); });
    if (*key) {
        accepted->request.headers.emplace_back("Idempotency-Key", (*key)->text());
    }
    accepted->arrivedAt = m_loop.now();
    accepted->deadline = accepted->arrivedAt + std::chrono::milliseconds{matchedRoute.deadlineMilliseconds};
    accepted->done = [this, exchange, requestId, key = *key, callerId = caller.id()](const job_outcome &outcome) {
        --m_inFlight[callerId];
        exchange->respond(makeJobResponse(outcome, requestId, key));
    };
    m_jobs.submit(accepted);
}

void caller_task::handleJobRequest(const std::shared_ptr<http_exchange> &exchange, const caller_settings &caller, const std::string &requestId)
{
    const http_request &request = exchange->request();
    const auto key = job_key::parse(std::string_view(request.path).substr(jobsPath.size()));
    if (!key) {
        exchange->respond(makeErrorResponse(result_code::invalid_key, key.lastReason().reason, requestId));
        return;
    }

    const auto respond = [exchange, requestId, key = *key](const job_outcome &outcome) {
        exchange->respond(makeJobResponse(outcome, requestId, key));
    };
    if (request.method == "GET") {
        m_jobs.query(*key, caller.id(), respond);
    } else if (request.method == "DELETE") {
        m_jobs.cancel(*key, caller.id(), respond);
    } else {
        exchange->respond(makeErrorResponse(result_code::method_not_allowed, {}, requestId));
    }
}

} // namespace parsleyglade
