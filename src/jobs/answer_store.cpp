#include "jobs/answer_store.h"

namespace parsleyglade {

namespace {

/** Memory of the list and map nodes of an entry, so that empty answers are bounded too. */
constexpr std::size_t entryOverheadBytes = 192;

std::size_t sizeOf(const wire::kept_answer &answer)
{
    return answer.body.size() + answer.contentType.size() + entryOverheadBytes;
}

} // namespace

answer_store::answer_store(std::size_t bytesEach, std::size_t bytesTotal)
    : m_bytesEach(bytesEach)
    , m_bytesTotal(bytesTotal)
{
}

bool answer_store::keep(const claim_identity &identity, const wire::kept_answer &answer)
{
    if (m_index.contains(identity)) {
        return true;
    }

    const std::size_t size = sizeOf(answer);
    if (size > m_bytesEach + entryOverheadBytes || size > m_bytesTotal) {
        return false;
    }

    while (m_bytes + size > m_bytesTotal) {
        drop(m_entries.begin());
    }
    m_entries.push_back({identity, answer});
    m_index.emplace(identity, std::prev(m_entries.end()));
    m_bytes += size;
    return true;
}

std::optional<wire::kept_answer> answer_store::find(const claim_identity &identity) const
{
    const auto found = m_index.find(identity);
    return found == m_index.end() ? std::nullopt : std::optional(found->second->answer);
}

void answer_store::dropBefore(wall_time horizon)
{
    while (!m_index.empty() && m_index.begin()->first.key.created() < horizon) {
        drop(m_index.begin()->second);
    }
}

std::size_t answer_store::bytes() const
{
    return m_bytes;
}

void answer_store::drop(std::list<entry>::iterator position)
{
    m_bytes -= sizeOf(position->answer);
    m_index.erase(position->identity);
    m_entries.erase(position);
}

} // namespace parsleyglade
