#include "jobs/pending_claim_requests.h"

#include <cassert>

namespace parsleyglade {

pending_claim_request &pending_claim_requests::add(reply_handle handle, pending_claim_request request)
{
    assert(!m_requests.contains(handle));
    m_byIdentity.emplace(request.identity, handle);
    m_byDeadline.emplace(request.deadline, handle);
    return m_requests.emplace(handle, std::move(request)).first->second;
}

pending_claim_request *pending_claim_requests::find(reply_handle handle)
{
    const auto found = m_requests.find(handle);
    return found == m_requests.end() ? nullptr : &found->second;
}

void pending_claim_requests::setDeadline(reply_handle handle, time_point deadline)
{
    pending_claim_request *pending = find(handle);
    assert(pending != nullptr);
    m_byDeadline.erase({pending->deadline, handle});
    pending->deadline = deadline;
    m_byDeadline.emplace(deadline, handle);
}

void pending_claim_requests::remove(reply_handle handle)
{
    const auto found = m_requests.find(handle);
    if (found == m_requests.end()) {
        return;
    }

    m_byIdentity.erase({found->second.identity, handle});
    m_byDeadline.erase({found->second.deadline, handle});
    m_requests.erase(found);
}

std::vector<reply_handle> pending_claim_requests::handlesOf(const claim_identity &identity) const
{
    std::vector<reply_handle> handles;
    for (auto position = m_byIdentity.lower_bound({identity, reply_handle{0}}); position != m_byIdentity.end() && position->first == identity; ++position) {
        handles.push_back(position->second);
    }
    return handles;
}

std::vector<reply_handle> pending_claim_requests::all() const
{
    std::vector<reply_handle> handles;
    handles.reserve(m_requests.size());
    for (const auto &[handle, pending] : m_requests) {
        handles.push_back(handle);
    }
    return handles;
}

std::vector<reply_handle> pending_claim_requests::expired(time_point now) const
{
    std::vector<reply_handle> handles;
    for (const auto &[deadline, handle] : m_byDeadline) {
        if (deadline > now) {
            break;
        }
        handles.push_back(handle);
    }
    return handles;
}

time_point pending_claim_requests::firstDeadline() const
{
    assert(!m_byDeadline.empty());
    return m_byDeadline.begin()->first;
}

std::size_t pending_claim_requests::size() const
{
    return m_requests.size();
}

} // namespace parsleyglade
