#include "scheduler/job_records.h"
#include "scheduler/scheduler.h"

#include <algorithm>

namespace parsleyglade {

std::optional<journal_batch> scheduler::takeBatch()
{
    if (m_isBatchUnconfirmed) {
        return std::nullopt;
    }
    if (m_changed.empty() && m_removedJobs.empty() && m_changedHostRecords.empty() && m_changedLeaseRecords.empty() && !m_lateStartRecords.hasChanged()) {
        acknowledgeUnrecordedEnds();
        return std::nullopt;
    }

    journal_batch batch{++m_batch, {}};
    std::size_t bytes = 0;
    std::size_t included = 0;
    for (; included < m_changed.size() && bytes < m_settings.maximumBatchBytes; ++included) {
        scheduled_job &job = *m_changed[included];
        if (job.isNew) {
            batch.entries.push_back({workKey(job.id), encode(job.work)});
            bytes += batch.entries.back().value.size();
        }
        batch.entries.push_back({progressKey(job.id), encode(toProgress(job, m_resigned))});
        bytes += batch.entries.back().value.size();
        job.isNew = false;
        job.changed = false;
        job.batch = m_batch;
    }
    m_changed.erase(m_changed.begin(), m_changed.begin() + static_cast<std::ptrdiff_t>(included));
    for (const std::string &job : m_removedJobs) {
        batch.entries.push_back({workKey(job), {}});
        batch.entries.push_back({progressKey(job), {}});
    }
    m_removedJobs.clear();
    for (const std::string &key : m_changedHostRecords) {
        batch.entries.push_back({key, m_hostRecords[key]});
    }
    m_changedHostRecords.clear();
    addLeaseRecords(batch);
    m_lateStartRecords.addTo(batch, m_now);

    // Runs and responses of jobs that did not fit into this batch wait for the next one.
    const auto isIncluded = [this](const std::string &id) {
        const scheduled_job *job = findMutableJob(id);
        return job == nullptr || !job->changed;
    };
    const auto later = std::stable_partition(m_planned.begin(), m_planned.end(), [&](const run_key &key) { return isIncluded(key.task.job); });
    m_recording.assign(m_planned.begin(), later);
    m_planned.erase(m_planned.begin(), later);
    for (const run_key &key : m_recording) {
        if (scheduled_run *run = findRun(key)) {
            run->phase = run_phase::recording;
        }
    }
    const auto laterReplies = std::stable_partition(m_replies.begin(), m_replies.end(), [&](const waiting_reply &reply) { return isIncluded(reply.job); });
    m_recordingReplies.assign(m_replies.begin(), laterReplies);
    m_replies.erase(m_replies.begin(), laterReplies);

    m_recordingEnds.clear();
    if (m_changed.empty()) {
        for (const std::string &id : m_unrecordedEnds) {
            if (const executor_state *executor = findExecutor(id)) {
                m_recordingEnds.emplace_back(id, executor->endApplied);
            }
        }
    }
    m_isBatchUnconfirmed = true;
    m_batchTakenAt = m_now;
    ++m_counters.batches;
    for (const journal_entry &entry : batch.entries) {
        m_counters.batchBytes += entry.key.size() + entry.value.size();
    }
    return batch;
}

void scheduler::addLeaseRecords(journal_batch &batch)
{
    for (const std::string &id : std::exchange(m_changedLeaseRecords, {})) {
        const auto recorded = m_leaseRecords.find(id);
        if (recorded == m_leaseRecords.end()) {
            batch.entries.push_back({leaseKey(id), {}});
            continue;
        }
        wire::lease_record record;
        record.executor = id;
        const executor_state *executor = findExecutor(id);
        const bool isLost = recorded->second.isLost && executor != nullptr;
        const time_point expiry = isLost ? executor->leaseExpiry : recorded->second.expiry; // a start order may have extended it since
        const duration left = std::max(expiry - m_now, duration::zero());
        record.leaseMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
        record.lost = isLost;
        batch.entries.push_back({leaseKey(id), encode(record)});
    }
}

/** Marks all applied ends as recorded. @pre the journal has the state of every job */
void scheduler::acknowledgeUnrecordedEnds()
{
    for (const std::string &id : std::exchange(m_unrecordedEnds, {})) {
        const auto found = m_executors.find(id);
        if (found != m_executors.end()) {
            found->second.endRecorded = found->second.endApplied;
            touch(found->second);
        }
    }
}

void scheduler::resign(time_point now)
{
    m_resigned = now;
    recordLeasesOfLostExecutors();
    recordHostOrderAges(now);
    m_lateStartRecords.refresh();
    for (const auto &[id, executor] : m_executors) {
        for (const attached_run &key : executor.runs) {
            const scheduled_run *run = findRun(key);
            if (run != nullptr && mayHaveStartInFlight(*run)) {
                markChanged(*key.job);
            }
        }
    }
}

void scheduler::confirmBatch(std::uint64_t number, time_point now)
{
    if (!m_isBatchUnconfirmed || number != m_batch) {
        return;
    }
    m_isBatchUnconfirmed = false;
    m_confirmedBatch = number;

    for (const auto &[id, end] : m_recordingEnds) {
        const auto found = m_executors.find(id);
        if (found != m_executors.end() && found->second.endApplied >= end) {
            found->second.endRecorded = std::max(found->second.endRecorded, end);
            found->second.nextPoll = std::min(found->second.nextPoll, std::max(now, found->second.lastPollResponseAt + pollSpacing()));
            touch(found->second);
        }
    }
    std::erase_if(m_unrecordedEnds, [this](const std::string &id) {
        const executor_state *executor = findExecutor(id);
        return executor == nullptr || executor->endApplied <= executor->endRecorded;
    });
    for (const waiting_reply &reply : m_recordingReplies) {
        m_actions.emplace_back(call_response{reply.token, reply.reply});
    }
    m_recordingReplies.clear();

    const std::vector<run_key> recorded = std::exchange(m_recording, {});
    addStartWaits(recorded, now);
    measureStartDelay(now); // the owner may pass on calls before the next decide()
    for (const run_key &key : recorded) {
        if (scheduled_run *run = findRun(key)) {
            startOrHold(key, *run, now);
        }
    }
}

} // namespace parsleyglade
