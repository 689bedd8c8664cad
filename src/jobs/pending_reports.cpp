#include "jobs/pending_reports.h"

namespace parsleyglade {

std::optional<report_key> pending_reports::add(const wire::result_entry &entry, std::optional<wire::kept_answer> response)
{
    const auto key = job_key::fromBytes(entry.key);
    if (!key) {
        return std::nullopt;
    }

    const report_key name{claim_identity{*key, caller_id{entry.caller}}, attempt_id{entry.attempt}, static_cast<int>(entry.result)};
    pending_report &report = m_reports[name];
    report.entry = entry;
    if (response) {
        report.response = std::move(response);
    }
    return name;
}

pending_report *pending_reports::find(const report_key &key)
{
    const auto found = m_reports.find(key);
    return found == m_reports.end() ? nullptr : &found->second;
}

void pending_reports::remove(const report_key &key)
{
    const auto found = m_reports.find(key);
    if (found != m_reports.end()) {
        m_inFlight -= found->second.isInFlight ? 1 : 0;
        m_reports.erase(found);
    }
}

std::vector<report_key> pending_reports::selectForBatch(std::size_t maximum)
{
    std::vector<report_key> selected;
    for (auto &[key, report] : m_reports) {
        if (selected.size() == maximum) {
            break;
        }
        if (!report.isInFlight) {
            report.isInFlight = true;
            selected.push_back(key);
        }
    }
    m_inFlight += selected.size();
    return selected;
}

void pending_reports::requeue(const std::vector<report_key> &keys)
{
    for (const report_key &key : keys) {
        pending_report *report = find(key);
        if (report != nullptr && report->isInFlight) {
            report->isInFlight = false;
            --m_inFlight;
        }
    }
}

std::vector<reply_handle> pending_reports::removeExpired(time_point now)
{
    std::vector<reply_handle> due;
    for (auto position = m_reports.begin(); position != m_reports.end();) {
        pending_report &report = position->second;
        const bool isOwnResult = report.waiting.empty();
        std::erase_if(report.waiting, [&](const auto &item) {
            if (item.second <= now) {
                due.push_back(item.first);
            }
            return item.second <= now;
        });

        // No handle is left to acknowledge. The dispatcher will repeat the report, so it need not be retained.
        const bool isAbandoned = !isOwnResult && report.waiting.empty() && !report.isInFlight;
        position = isAbandoned ? m_reports.erase(position) : std::next(position);
    }
    return due;
}

std::vector<report_key> pending_reports::all() const
{
    std::vector<report_key> keys;
    keys.reserve(m_reports.size());
    for (const auto &[key, report] : m_reports) {
        keys.push_back(key);
    }
    return keys;
}

std::vector<reply_handle> pending_reports::removeAll()
{
    std::vector<reply_handle> handles;
    for (const auto &[key, report] : m_reports) {
        for (const auto &[handle, deadline] : report.waiting) {
            handles.push_back(handle);
        }
    }
    m_reports.clear();
    m_inFlight = 0;
    return handles;
}

bool pending_reports::hasUnsent() const
{
    return m_reports.size() > m_inFlight;
}

std::size_t pending_reports::size() const
{
    return m_reports.size();
}

bool isSettled(const claim_fold &fold, const report_key &key, bool isFolded)
{
    const auto &[identity, attempt, result] = key;
    const claim_record *record = fold.find(identity);
    if (fold.isExpired(identity.key)) {
        return true;
    }

    if (result == wire::job_result::released) {
        if (record == nullptr) {
            // The fold had reached its capacity and did not record the release. Only a later retry can succeed.
            return false;
        }
        const bool isFinal = record->state == claim_state::completed && record->attempt == attempt;
        return isFinal || isFolded || record->isVoid(attempt);
    }

    // A job is claimed before it is sent, so if the record does not name the attempt, the claim has not been applied yet.
    if (isFolded) {
        return true;
    }
    if (record == nullptr || record->attempt != attempt) {
        return false;
    }
    return result == wire::job_result::completed ? record->state == claim_state::completed : record->state != claim_state::open;
}

} // namespace parsleyglade
