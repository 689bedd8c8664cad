#include "jobs/response_cache.h"

namespace parsleyglade {

namespace {

/** Memory of an entry's list and map nodes. It is counted so that empty responses are bounded as well. */
constexpr std::size_t entryOverheadBytes = 192;

std::size_t sizeOf(const wire::kept_answer &response)
{
    return response.body.size() + response.contentType.size() + entryOverheadBytes;
}

} // namespace

response_cache::response_cache(std::size_t maximumResponseBytes, std::size_t capacityBytes)
    : m_maximumResponseBytes(maximumResponseBytes)
    , m_capacityBytes(capacityBytes)
{
}

bool response_cache::store(const claim_identity &identity, const wire::kept_answer &response)
{
    if (m_index.contains(identity)) {
        return true;
    }

    const std::size_t size = sizeOf(response);
    if (size > m_maximumResponseBytes + entryOverheadBytes || size > m_capacityBytes) {
        return false;
    }

    while (m_bytes + size > m_capacityBytes) {
        evict(m_entries.begin());
    }
    m_entries.push_back({identity, response});
    m_index.emplace(identity, std::prev(m_entries.end()));
    m_bytes += size;
    return true;
}

std::optional<wire::kept_answer> response_cache::find(const claim_identity &identity) const
{
    const auto found = m_index.find(identity);
    return found == m_index.end() ? std::nullopt : std::optional(found->second->response);
}

void response_cache::removeBefore(wall_time horizon)
{
    while (!m_index.empty() && m_index.begin()->first.key.created() < horizon) {
        evict(m_index.begin()->second);
    }
}

std::size_t response_cache::bytes() const
{
    return m_bytes;
}

void response_cache::evict(std::list<entry>::iterator position)
{
    m_bytes -= sizeOf(position->response);
    m_index.erase(position->identity);
    m_entries.erase(position);
}

} // namespace parsleyglade
