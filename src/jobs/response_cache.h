#pragma once

#include "jobs/claim_record.h"
#include "wire/wire.h"

#include <cstddef>
#include <list>
#include <map>
#include <optional>

namespace parsleyglade {

/** Whole answers of completed jobs, bounded in bytes; the oldest goes first. An answer that is too large is not kept. */
class response_cache
{
public:
    /**
     * @param maximumResponseBytes largest answer that is kept, in bytes of body and content type
     * @param capacityBytes bound of all kept answers together, in bytes, each counted with its bookkeeping
     */
    response_cache(std::size_t maximumResponseBytes, std::size_t capacityBytes);

    /** Keeps the answer of a job. The first answer of a job stays; a second one is ignored. Returns whether the job's answer is kept now. */
    bool store(const claim_identity &identity, const wire::kept_answer &answer);

    /** The kept answer of a job, or nothing when it was too large or has been evicted. */
    std::optional<wire::kept_answer> find(const claim_identity &identity) const;

    /** Removes every answer whose key was created before the time. */
    void removeBefore(wall_time horizon);

    /** Bytes of all kept answers with their bookkeeping. */
    std::size_t bytes() const;

private:
    struct entry
    {
        claim_identity identity;
        wire::kept_answer answer;
    };

    void evict(std::list<entry>::iterator position);

    std::size_t m_maximumResponseBytes;
    std::size_t m_capacityBytes;
    std::size_t m_bytes = 0;
    std::list<entry> m_entries; /**< Oldest first. */
    std::map<claim_identity, std::list<entry>::iterator> m_index;
};

} // namespace parsleyglade
