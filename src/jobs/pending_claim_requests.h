#pragma once

#include "jobs/claim_record.h"
#include "jobs/coordinator_action.h"

#include <map>
#include <set>

namespace parsleyglade {

/** A claim request or query that a coordinator has not replied to yet. */
struct pending_claim_request
{
    wire::claim_request request;
    claim_identity identity;
    time_point waitUntil{}; /**< Until when it may wait for another attempt's open claim. */
    time_point deadline{}; /**< Latest time of the reply in its current phase. */
    bool isJoined = false; /**< Waits for another attempt's open claim to end. */
    bool isAwaitingBarrier = false; /**< Waits for an append that proves all earlier records to be applied. */
    bool hasPassedBarrier = false; /**< Everything that was appended before the request arrived has been applied. */
    bool mayBeWritten = false; /**< Its claim was part of an append that may still take effect. */
    bool isDecided = false; /**< A record that contains its claim has been applied. */
};

/** Requests that a coordinator has not replied to, indexed by handle, job and deadline. */
class pending_claim_requests
{
public:
    /** Adds a request. @pre the handle is new */
    pending_claim_request &add(reply_handle handle, pending_claim_request request);

    /** Returns a request, or null if it is not pending. */
    pending_claim_request *find(reply_handle handle);

    /** Changes the deadline of a request. @pre the request is pending */
    void setDeadline(reply_handle handle, time_point deadline);

    /** Removes a request; has no effect if it is not pending. */
    void remove(reply_handle handle);

    /** Handles of the pending requests for a job. */
    std::vector<reply_handle> handlesOf(const claim_identity &identity) const;

    /** Handles of all requests. */
    std::vector<reply_handle> all() const;

    /** Handles whose deadline has passed, earliest first. Does not remove them. */
    std::vector<reply_handle> expired(time_point now) const;

    /** Returns the earliest deadline. @pre size() > 0 */
    time_point firstDeadline() const;

    std::size_t size() const;

private:
    std::map<reply_handle, pending_claim_request> m_requests;
    std::set<std::pair<claim_identity, reply_handle>> m_byIdentity;
    std::set<std::pair<time_point, reply_handle>> m_byDeadline;
};

} // namespace parsleyglade
