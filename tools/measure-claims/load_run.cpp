#include "load_run.h"

#include <algorithm>
#include <memory>
#include <random>

namespace parsleyglade::measure {

namespace {

constexpr wall_time wallStart{std::chrono::milliseconds{1'800'000'000'000}};
/** Time after which the baseline no longer retries an append. */
constexpr duration claimTimeout = std::chrono::seconds{2};

/** Common part of both simulations: virtual time, the log, job arrivals and results. */
class load_simulation
{
public:
    explicit load_simulation(const load_settings &settings)
        : m_settings(settings)
        , m_log(m_time, settings.appendsPerSecond, settings.callDuration)
        , m_random(settings.seed)
    {
    }

    load_simulation(const load_simulation &) = delete;
    load_simulation &operator=(const load_simulation &) = delete;
    virtual ~load_simulation() = default;

    load_result run()
    {
        submitNextJob();
        m_time.runUntil(time_point{m_settings.simulatedTime});
        m_result.appendsPerSecond = static_cast<double>(m_log.appends()) / toSeconds(m_settings.simulatedTime);
        m_result.refusedAppendsPerSecond = static_cast<double>(m_log.refusals()) / toSeconds(m_settings.simulatedTime);
        m_time.runUntil(time_point{m_settings.simulatedTime + 2 * claimTimeout});
        std::sort(m_addedMilliseconds.begin(), m_addedMilliseconds.end());
        m_result.granted = m_addedMilliseconds.size();
        m_result.addedMedianMilliseconds = quantile(0.5);
        m_result.addedP99Milliseconds = quantile(0.99);
        const double granted = static_cast<double>(std::max<std::size_t>(m_addedMilliseconds.size(), 1));
        m_result.appendsPerJob = static_cast<double>(m_log.appends()) / granted;
        m_result.bytesPerJob = static_cast<double>(m_log.bytes()) / granted;
        return m_result;
    }

protected:
    /** Claims a job that has arrived and, once the claim is granted and the job has run, reports its result. */
    virtual void claim(const wire::claim_request &request) = 0;

    void recordGrant(time_point requestedAt)
    {
        m_addedMilliseconds.push_back(toSeconds(m_time.now() - requestedAt) * 1000);
    }

    void recordRefusal()
    {
        ++m_result.refused;
    }

    clock_reading clockNow() const
    {
        return {m_time.now(), wallStart + std::chrono::duration_cast<std::chrono::milliseconds>(m_time.now().time_since_epoch())};
    }

    static wire::result_entry completionOf(const wire::claim_request &request)
    {
        wire::result_entry entry;
        entry.key = request.claim.key;
        entry.caller = request.claim.caller;
        entry.attempt = request.claim.attempt;
        entry.result = wire::job_result::completed;
        entry.httpStatus = 200;
        return entry;
    }

    load_settings m_settings; // NOLINT(cppcoreguidelines-non-private-member-variables-in-classes)
    virtual_time m_time; // NOLINT(cppcoreguidelines-non-private-member-variables-in-classes)
    virtual_log m_log; // NOLINT(cppcoreguidelines-non-private-member-variables-in-classes)
    std::mt19937_64 m_random; // NOLINT(cppcoreguidelines-non-private-member-variables-in-classes)

private:
    void submitNextJob()
    {
        if (m_time.now() >= time_point{m_settings.simulatedTime}) {
            return;
        }

        ++m_result.jobs;
        wire::claim_request request;
        const job_key key = job_key::generate(clockNow().wall, m_random);
        request.stream = static_cast<std::int32_t>(key.hash() % static_cast<std::uint64_t>(m_settings.streams));
        request.claim.key = key.bytes();
        request.claim.caller = static_cast<std::int64_t>(m_random());
        request.claim.fingerprint = static_cast<std::int64_t>(m_random());
        request.claim.dispatcher = 7;
        request.claim.attempt = static_cast<std::int64_t>(m_random());
        claim(request);

        std::exponential_distribution<double> interarrivalTime(m_settings.jobsPerSecond);
        m_time.after(duration{static_cast<duration::rep>(interarrivalTime(m_random) * 1e6)}, [this] { submitNextJob(); });
    }

    double quantile(double share) const
    {
        return m_addedMilliseconds.empty() ? 0 : m_addedMilliseconds[static_cast<std::size_t>(share * static_cast<double>(m_addedMilliseconds.size() - 1))];
    }

    load_result m_result;
    std::vector<double> m_addedMilliseconds;
};

class group_commit_simulation final : public load_simulation
{
public:
    explicit group_commit_simulation(const load_settings &settings)
        : load_simulation(settings)
    {
        for (int stream = 0; stream < settings.streams; ++stream) {
            coordinator_settings streamSettings;
            // The claim streams share the log's maximum append rate; a sixth of it is left for the other streams.
            streamSettings.appendInterval = duration{static_cast<duration::rep>(1e6 * settings.streams / (settings.appendsPerSecond * 5 / 6))};
            m_coordinators.push_back(std::make_unique<claim_coordinator>(streamSettings, static_cast<std::uint64_t>(stream) + 1));
            m_scheduledWakes.emplace_back();
            performActions(stream, m_coordinators.back()->start(clockNow()));
        }
    }

private:
    void claim(const wire::claim_request &request) override
    {
        const time_point requestedAt = m_time.now();
        m_time.after(m_settings.hopDelay, [this, request, requestedAt] {
            const reply_handle handle{m_nextHandle++};
            m_pendingClaims.emplace(handle, std::pair(request, requestedAt));
            performActions(request.stream, m_coordinators[request.stream]->request(handle, request, clockNow()));
        });
    }

    void performActions(int stream, const coordinator_actions &actions)
    {
        for (const coordinator_action &action : actions) {
            if (const auto *append = std::get_if<append_action>(&action)) {
                m_log.append(stream, append->payload, [this, stream](const append_response &response) {
                    performActions(stream, m_coordinators[stream]->appendCompleted(response, clockNow()));
                });
            } else if (const auto *read = std::get_if<read_action>(&action)) {
                m_log.read(stream, read->from, read->maximumRecords, [this, stream](const read_response &response) {
                    performActions(stream, m_coordinators[stream]->readCompleted(response, clockNow()));
                });
            } else if (const auto *reply = std::get_if<reply_action>(&action)) {
                handleReply(*reply);
            }
        }
        scheduleWake(stream);
    }

    void handleReply(const reply_action &reply)
    {
        const auto node = m_pendingClaims.extract(reply.handle);
        const auto [request, requestedAt] = node.mapped();
        if (reply.reply.verdict != wire::claim_verdict::granted) {
            recordRefusal();
            return;
        }

        m_time.after(m_settings.hopDelay, [this, requestedAt = requestedAt] { recordGrant(requestedAt); });
        m_time.after(2 * m_settings.hopDelay + m_settings.runTime, [this, request = request] {
            wire::result_report report;
            report.stream = request.stream;
            report.result = completionOf(request);
            performActions(request.stream, m_coordinators[request.stream]->report(reply_handle{m_nextHandle++}, report, clockNow()));
        });
    }

    void scheduleWake(int stream)
    {
        const auto wake = m_coordinators[stream]->nextWake();
        auto &scheduled = m_scheduledWakes[stream];
        if (!wake || (scheduled && *scheduled <= *wake && *scheduled > m_time.now())) {
            return;
        }

        scheduled = std::max(*wake, m_time.now());
        m_time.after(*scheduled - m_time.now(), [this, stream] {
            m_scheduledWakes[stream].reset();
            performActions(stream, m_coordinators[stream]->tick(clockNow()));
        });
    }

    std::vector<std::unique_ptr<claim_coordinator>> m_coordinators;
    std::vector<std::optional<time_point>> m_scheduledWakes;
    std::map<reply_handle, std::pair<wire::claim_request, time_point>> m_pendingClaims;
    std::uint64_t m_nextHandle = 1;
};

class separate_append_simulation final : public load_simulation
{
public:
    using load_simulation::load_simulation;

private:
    void claim(const wire::claim_request &request) override
    {
        wire::claim_batch batch;
        batch.writer = 7;
        batch.batch = static_cast<std::int64_t>(m_random());
        batch.claims.push_back(request.claim);
        const time_point requestedAt = m_time.now();
        append(request.stream, encode(batch), requestedAt, [this, request, requestedAt](bool isAppended) {
            if (!isAppended) {
                recordRefusal();
                return;
            }

            recordGrant(requestedAt);
            m_time.after(m_settings.runTime, [this, request] {
                wire::claim_batch result;
                result.writer = 7;
                result.batch = static_cast<std::int64_t>(m_random());
                result.results.push_back(completionOf(request));
                append(request.stream, encode(result), m_time.now(), [](bool /*isAppended*/) {});
            });
        });
    }

    void append(int stream, const std::string &payload, time_point requestedAt, const std::function<void(bool)> &done)
    {
        m_log.append(stream, payload, [this, stream, payload, requestedAt, done](const append_response &response) {
            if (response.result == append_response::kind::appended || m_time.now() >= requestedAt + claimTimeout) {
                done(response.result == append_response::kind::appended);
                return;
            }
            const duration jitter{static_cast<duration::rep>(m_random() % 500'000)};
            m_time.after(jitter, [this, stream, payload, requestedAt, done] { append(stream, payload, requestedAt, done); });
        });
    }
};

} // namespace

load_result runGroupCommit(const load_settings &settings)
{
    return group_commit_simulation(settings).run();
}

load_result runSeparateAppends(const load_settings &settings)
{
    return separate_append_simulation(settings).run();
}

} // namespace parsleyglade::measure
