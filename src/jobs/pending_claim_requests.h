#pragma once

#include "jobs/claim_record.h"
#include "jobs/coordinator_action.h"

#include <map>
#include <set>

namespace parsleyglade {

/** A claim request or query that a coordinator has not answered yet. */
struct pending_claim_request
{
    wire::claim_request request;
    claim_identity identity;
    time_point waitUntil{}; /**< How long it may wait for an open claim that it joined. */
    time_point deadline{}; /**< When it is answered at the latest, in its present phase. */
    bool isJoined = false; /**< Waits for the end of an open claim. */
    bool isAwaitingBarrier = false; /**< Waits for an append that shows everything below it. */
    bool hasPassedBarrier = false; /**< Everything appended before the request came in has been folded. */
    bool mayBeWritten = false; /**< Its claim was in an append that may still take effect. */
    bool isDecided = false; /**< A record with its claim has been folded. */
};

/** The requests that a coordinator holds, by handle, by job and by deadline. */
class pending_claim_requests
{
public:
    /** Adds a request. @pre the handle is new */
    pending_claim_request &add(reply_handle handle, pending_claim_request request);

    /** The request of a handle; null when it is not held. */
    pending_claim_request *find(reply_handle handle);

    /** Moves the deadline of a held request. */
    void setDeadline(reply_handle handle, time_point deadline);

    /** Removes a request. Does nothing when it is not held. */
    void remove(reply_handle handle);

    /** Handles of the requests for a job. */
    std::vector<reply_handle> handlesOf(const claim_identity &identity) const;

    /** Every handle. */
    std::vector<reply_handle> all() const;

    /** Handles whose deadline has come, earliest first. */
    std::vector<reply_handle> expired(time_point now) const;

    /** The earliest deadline. @pre size() > 0 */
    time_point firstDeadline() const;

    std::size_t size() const;

private:
    std::map<reply_handle, pending_claim_request> m_requests;
    std::set<std::pair<claim_identity, reply_handle>> m_byIdentity;
    std::set<std::pair<time_point, reply_handle>> m_byDeadline;
};

} // namespace parsleyglade
