#include "measurement_registry.h"
#include "reports/reports.h"

namespace parsleyglade {

namespace {

constexpr wall_time measuredAt{std::chrono::milliseconds(1'796'342'400'000)}; // 2026-12-04 00:00 UTC.
constexpr std::size_t entryHosts = 7;

/** A recorder with job ends in every bucket of every window and with the maximum number of notes, and the merged report of 7 entry hosts with such recorders.
 */
class recorder_measurement final : public measurement
{
public:
    std::string name() const override
    {
        return "recorder";
    }

    std::string sizeUnit() const override
    {
        return "services with 155 buckets each";
    }

    std::vector<std::size_t> sizes() const override
    {
        return {5, 40, 164, 328};
    }

    void build(std::size_t size) override
    {
        m_names.clear();
        m_recorder = std::make_unique<service_recorder>("entry-1", incarnation_id{1}, measuredAt);
        std::map<std::string, double> objectives;
        for (std::size_t index = 0; index < size; ++index) {
            m_names.push_back("service-" + std::to_string(index));
            objectives.emplace(m_names.back(), 0.995);
        }
        m_recorder->setObjectives(1, objectives, measuredAt);
        for (std::size_t row = burnWindowCount; row > 0; --row) {
            fillWindow(burnWindowTable.at(row - 1));
        }
        for (std::size_t index = 0; index < maximumReportChanges; ++index) {
            m_recorder->addPlannedChange(
                {measuredAt - std::chrono::minutes(10 * index), planned_change_kind::move, "host-" + std::to_string(index), "started", {}});
        }
    }

    void release() override
    {
        m_recorder.reset();
        m_names = {};
        m_text = {};
        m_report = {};
    }

    std::vector<operation> operations() override
    {
        m_text = m_recorder->toJson(measuredAt).dump();
        for (std::size_t host = 0; host < entryHosts; ++host) {
            burn_document document = m_recorder->document(measuredAt);
            document.entryHost += std::to_string(host);
            m_report.add(std::move(document));
        }
        return {{"count one end",
                 [this] {
                     return addOneJobEnd();
                 }},
                {"write the document",
                 [this] {
                     return m_recorder->toJson(measuredAt).dump().size();
                 }},
                {"read the document",
                 [this] {
                     return parseBurnDocument(m_text).hasValue() ? std::size_t{0} : std::size_t{1};
                 }},
                {"text report of 7 entry hosts",
                 [this] {
                     return renderText(m_report.summary(measuredAt)).size();
                 }},
                {"HTML report of 7 entry hosts", [this] {
                     return renderHtml(m_report.summary(measuredAt)).size();
                 }}};
    }

private:
    /** Adds job ends of different results to each bucket of a window. */
    void fillWindow(const burn_window_row &row)
    {
        for (std::int64_t age = bucketsPerWindow - 1; age >= 0; --age) {
            for (const std::string &service : m_names) {
                m_recorder->add(service, {}, measuredAt - age * row.bucketLength());
                m_recorder->add(service, {result_code::ok, 500}, measuredAt - age * row.bucketLength());
                m_recorder->add(service, {result_code::queue_full}, measuredAt - age * row.bucketLength());
            }
        }
    }

    std::size_t addOneJobEnd()
    {
        m_nextService = (m_nextService + 1) % m_names.size();
        job_end end;
        end.latency = std::chrono::milliseconds(m_nextService + 1);
        m_recorder->add(m_names.at(m_nextService), end, measuredAt);
        return 0;
    }

    std::unique_ptr<service_recorder> m_recorder;
    std::vector<std::string> m_names;
    std::string m_text;
    burn_report m_report;
    std::size_t m_nextService = 0;
};

const measurement_registry::registration registration(std::make_unique<recorder_measurement>());

} // namespace

} // namespace parsleyglade
