#include "reports/service_recorder.h"

#include "reports/report_text.h"

#include <algorithm>

namespace parsleyglade {

namespace {

/** Returns the name in a form that parseBurnDocument() accepts. */
std::string toReportName(const std::string &name)
{
    return name.empty() ? std::string("(unnamed)") : cleanText(name, maximumReportNameBytes);
}

} // namespace

service_recorder::service_recorder(const std::string &entryHost, incarnation_id incarnation, wall_time startedAt)
    : m_entryHost(toReportName(entryHost))
    , m_incarnation(incarnation)
    , m_startedAt(startedAt)
{
}

void service_recorder::setObjectives(revision_number revision, const std::map<std::string, double> &objectives, wall_time now)
{
    m_revision = revision;
    for (auto &[name, each] : m_services) {
        each.objective.reset();
    }
    removeUnused(now);

    for (const auto &[service, objective] : objectives) {
        const std::string name = nameOf(service);
        if (name != otherServices) {
            m_services[name].objective = std::clamp(objective, minimumReportObjective, maximumReportObjective);
        }
    }
}

void service_recorder::add(const std::string &service, const job_end &end, wall_time now)
{
    const std::optional<end_cause> cause = classifyEnd(end);
    if (!cause) {
        return;
    }

    const auto found = m_services.find(service);
    service_entry &each = found != m_services.end() ? found->second : m_services[nameOf(service)];
    each.totals.add(*cause);
    for (const burn_window_row &row : burnWindowTable) {
        each.rings.at(static_cast<std::size_t>(row.window)).add(row.bucketOf(now), *cause);
    }
    if (end.code == result_code::ok) {
        each.latencies.at(static_cast<std::size_t>(end.latencyClass)).add(end.latency, now);
    }
}

void service_recorder::addPlannedChange(planned_change change)
{
    change.at = std::max(change.at, wall_time{});
    change.subject = cleanText(change.subject, maximumReportNameBytes);
    change.text = cleanText(change.text, maximumReportNameBytes);
    change.service = cleanText(change.service, maximumReportNameBytes);
    m_plannedChanges.push_back(std::move(change));
    if (m_plannedChanges.size() > maximumReportChanges) {
        m_plannedChanges.pop_front();
        ++m_droppedChanges;
    }
}

burn_document service_recorder::document(wall_time now) const
{
    burn_document result;
    result.entryHost = m_entryHost;
    result.incarnation = m_incarnation;
    result.startedAt = m_startedAt;
    result.takenAt = now;
    result.revision = m_revision;
    result.droppedChanges = m_droppedChanges;
    result.plannedChanges.assign(m_plannedChanges.begin(), m_plannedChanges.end());

    result.services.reserve(m_services.size());
    for (const auto &[name, each] : m_services) {
        service_counts counts{name, each.objective, {}, {}};
        for (std::size_t window = 0; window < burnWindowCount; ++window) {
            counts.windows.at(window) = each.rings.at(window).buckets();
        }
        for (std::size_t index = 0; index < latencyClassCount; ++index) {
            counts.latencies.at(index) = each.latencies.at(index).quantiles(now);
        }
        result.services.push_back(std::move(counts));
    }
    return result;
}

nlohmann::json service_recorder::toJson(wall_time now) const
{
    return parsleyglade::toJson(document(now));
}

end_counts service_recorder::totals(const std::string &service) const
{
    const auto found = m_services.find(toReportName(service));
    return found == m_services.end() ? end_counts{} : found->second.totals;
}

std::string service_recorder::nameOf(const std::string &service) const
{
    std::string name = toReportName(service);
    const bool hasCapacity = m_services.size() < maximumServices - 1; // One entry is reserved for otherServices.
    return hasCapacity || m_services.contains(name) ? name : std::string(otherServices);
}

void service_recorder::removeUnused(wall_time now)
{
    const burn_window_row &longest = burnWindowTable.back();
    std::erase_if(m_services, [&](const auto &item) { return !item.second.objective && item.second.rings.back().isEmptyAt(longest.bucketOf(now)); });
}

} // namespace parsleyglade
