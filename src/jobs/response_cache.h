#pragma once

#include "jobs/claim_record.h"
#include "wire/wire.h"

#include <cstddef>
#include <list>
#include <map>
#include <optional>

namespace parsleyglade {

/**
 * Bounded cache of the complete responses of finished jobs.
 *
 * When the cache is full, the response that was stored first is evicted. A response larger than maximumResponseBytes is not stored.
 */
class response_cache
{
public:
    /**
     * @param maximumResponseBytes largest response that is stored, in bytes of body and content type
     * @param capacityBytes limit of the whole cache in bytes, including the bookkeeping of each entry
     */
    response_cache(std::size_t maximumResponseBytes, std::size_t capacityBytes);

    /** Stores the response of a job unless one is already stored. Returns false if there is none and this one is too large. */
    bool store(const claim_identity &identity, const wire::kept_answer &response);

    /** Returns the stored response of a job, or nothing if it was too large or has been evicted. */
    std::optional<wire::kept_answer> find(const claim_identity &identity) const;

    /** Removes the responses of all keys that were created before the given time. */
    void removeBefore(wall_time horizon);

    /** Size of the cache in bytes, including the bookkeeping of each entry. */
    std::size_t bytes() const;

private:
    struct entry
    {
        claim_identity identity;
        wire::kept_answer response;
    };

    void evict(std::list<entry>::iterator position);

    std::size_t m_maximumResponseBytes;
    std::size_t m_capacityBytes;
    std::size_t m_bytes = 0;
    std::list<entry> m_entries; /**< In order of insertion, oldest first. */
    std::map<claim_identity, std::list<entry>::iterator> m_index;
};

} // namespace parsleyglade
