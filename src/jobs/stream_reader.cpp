#include "jobs/stream_reader.h"

namespace parsleyglade {

void stream_reader::startCatchUp()
{
    m_isCaughtUp = false;
}

std::vector<fold_result> stream_reader::handleResponse(const read_response &response)
{
    if (response.result == read_response::kind::unavailable) {
        return {};
    }
    if (response.result == read_response::kind::trimmed) {
        // A stale replica may report a first offset below the records that have already been read.
        if (response.earliest > readFrom()) {
            startScan(response.earliest);
        }
        return {};
    }

    if (m_isScanning) {
        scanForSnapshot(response);
        return {};
    }
    return applyRecords(response);
}

fold_result stream_reader::applyOwn(log_offset offset, std::string_view payload)
{
    return m_isScanning ? fold_result{fold_status::gap, 0, {}} : m_fold.apply(offset, payload);
}

log_offset stream_reader::readFrom() const
{
    return m_isScanning ? m_scanNext : m_fold.nextOffset();
}

bool stream_reader::isScanning() const
{
    return m_isScanning;
}

bool stream_reader::isCaughtUp() const
{
    return m_isCaughtUp;
}

const claim_fold &stream_reader::fold() const
{
    return m_fold;
}

void stream_reader::startScan(log_offset earliest)
{
    m_isCaughtUp = false;
    m_isScanning = true;
    m_scanNext = earliest;
    m_collector = snapshot_collector{};
    m_candidate.reset();
}

void stream_reader::scanForSnapshot(const read_response &response)
{
    const log_offset start = m_scanNext;
    for (const stream_record &record : response.records) {
        if (record.offset < m_scanNext) {
            continue;
        }

        m_scanNext = record.offset + 1;
        const auto batch = decode<wire::claim_batch>(record.payload);
        if (!batch || !batch->__isset.snapshot) {
            continue;
        }
        if (const auto snapshot = m_collector.add(batch->snapshot)) {
            auto fold = claim_fold::fromSnapshot(*snapshot);
            if (fold && snapshot->asOf + 1 >= response.earliest) {
                m_candidate = std::move(*fold);
            }
        }
    }

    const bool isAtHead = m_scanNext >= response.head || m_scanNext == start;
    if (isAtHead && m_candidate) {
        m_fold = std::move(*m_candidate);
        m_candidate.reset();
        m_isScanning = false;
    }
}

std::vector<fold_result> stream_reader::applyRecords(const read_response &response)
{
    std::vector<fold_result> results;
    for (const stream_record &record : response.records) {
        fold_result result = m_fold.apply(record.offset, record.payload);
        if (result.status == fold_status::gap) {
            // The missing records were removed by retention or omitted by the replica. The next read from readFrom() shows which.
            return results;
        }
        if (result.status != fold_status::ignored) {
            results.push_back(std::move(result));
        }
    }

    if (response.records.empty() || m_fold.nextOffset() >= response.head) {
        m_isCaughtUp = true;
    }
    return results;
}

} // namespace parsleyglade
