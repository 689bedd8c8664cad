#include "reports/burn_report.h"

#include "reports/summarise_service.h"

#include <algorithm>
#include <set>

namespace parsleyglade {

namespace {

/** Entries of the same planned change whose times differ by at most this are duplicates, as entry hosts observe a change at different times. */
constexpr std::chrono::seconds duplicateChangeSpan{60};

/**
 * Returns whether the left of two documents of the same process is newer. Documents with equal times are compared by their texts, so that
 * the result does not depend on the order of merges.
 */
bool isNewer(const burn_document &left, const burn_document &right)
{
    return left.takenAt != right.takenAt ? left.takenAt > right.takenAt : toJson(left).dump() > toJson(right).dump();
}

/** Merges the planned changes of all entry hosts. Each change is contained once, with its earliest time. */
std::vector<planned_change> mergePlannedChanges(const std::set<planned_change> &plannedChanges)
{
    std::vector<planned_change> result;
    for (const planned_change &change : plannedChanges) {
        const bool isDuplicate = std::any_of(result.rbegin(), result.rend(), [&change](const planned_change &other) {
            return change.at - other.at <= duplicateChangeSpan && change.kind == other.kind && change.subject == other.subject && change.text == other.text
                && change.service == other.service;
        });
        if (!isDuplicate) {
            result.push_back(change);
        }
    }
    return result;
}

/** Orders services by alert, most severe first, then by the remaining share of the budget. */
bool needsAttentionBefore(const service_burn &left, const service_burn &right)
{
    const auto key = [](const service_burn &each) {
        return std::make_tuple(-static_cast<int>(each.alert), each.remainingShare.value_or(2.0), std::cref(each.service));
    };
    return key(left) < key(right);
}

} // namespace

void burn_report::add(burn_document document)
{
    const std::pair key{document.entryHost, document.incarnation};
    const auto found = m_documents.find(key);
    if (found == m_documents.end()) {
        m_documents.emplace(key, std::move(document));
    } else if (isNewer(document, found->second)) {
        found->second = std::move(document);
    }
}

std::vector<failure> burn_report::parseAndAdd(const std::string &entryHost, std::string_view text)
{
    outcome<burn_document> document = parseBurnDocument(text);
    if (!document) {
        addMissing(entryHost, "invalid document: " + document.lastReason().reason);
        return document.failures();
    }

    if (document->entryHost != entryHost) {
        failure reason{result_code::invalid_value, "the document is from another entry host: " + document->entryHost, "/entryHost"};
        addMissing(entryHost, reason.reason);
        return {reason};
    }

    add(std::move(*document));
    return {};
}

void burn_report::addMissing(const std::string &entryHost, const std::string &reason)
{
    const auto [found, isNew] = m_missing.emplace(entryHost, reason);
    if (!isNew) {
        found->second = std::min(found->second, reason); // The result does not depend on the order of merges.
    }
}

void burn_report::merge(const burn_report &other)
{
    for (const auto &[key, document] : other.m_documents) {
        add(document);
    }
    for (const auto &[entryHost, reason] : other.m_missing) {
        addMissing(entryHost, reason);
    }
}

burn_summary burn_report::summary(wall_time now) const
{
    burn_summary result;
    result.at = now;
    std::set<std::string> respondingHosts;
    std::set<planned_change> plannedChanges;
    std::map<std::string, std::vector<const service_counts *>> services;
    for (const auto &[key, document] : m_documents) {
        respondingHosts.insert(document.entryHost);
        result.sources.push_back({document.entryHost, document.incarnation, document.startedAt, document.takenAt, document.revision});
        result.revision = std::max(result.revision, document.revision);
        result.droppedChanges += document.droppedChanges;
        plannedChanges.insert(document.plannedChanges.begin(), document.plannedChanges.end());
        for (const service_counts &each : document.services) {
            services[each.service].push_back(&each);
        }
    }

    for (const auto &[entryHost, reason] : m_missing) {
        if (!respondingHosts.contains(entryHost)) {
            result.missing.push_back({entryHost, reason});
        }
    }

    std::map<std::string, double> objectives;
    for (const auto &[key, document] : m_documents) {
        for (const service_counts &each : document.services) {
            if (document.revision == result.revision && each.objective) {
                double &objective = objectives[each.service];
                objective = std::max(objective, *each.objective);
            }
        }
    }

    result.plannedChanges = mergePlannedChanges(plannedChanges);
    for (const auto &[service, parts] : services) {
        const auto objective = objectives.find(service);
        result.services.push_back(
            summariseService(service, parts, objective == objectives.end() ? std::nullopt : std::optional(objective->second), result.plannedChanges, now));
    }
    std::sort(result.services.begin(), result.services.end(), needsAttentionBefore);
    return result;
}

} // namespace parsleyglade
