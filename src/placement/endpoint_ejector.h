#pragma once

#include "core/time_types.h"
#include "placement/ejection_settings.h"
#include "placement/endpoint_view.h"

#include <cstddef>
#include <random>
#include <span>

namespace parsleyglade {

/**
 * Ejects endpoints whose jobs fail (outlier detection), with exponential backoff and up to a fraction of the pool.
 *
 * An endpoint whose jobs fail quickly has few jobs in flight and would seem idle. Ejection, and the failure share, which raises the
 * endpoint's expected work, keep jobs away from it. The pool passed to the functions must be the whole pool, not only the endpoints of
 * one data centre. @see ejection_settings, ejection_state
 */
class endpoint_ejector
{
public:
    explicit endpoint_ejector(ejection_settings settings = {});

    /** Records that the endpoint completed a job. Ends its probation. */
    void succeeded(endpoint_view &endpoint) const;

    /**
     * Records that a job failed on the endpoint pool[index]. May eject the endpoint.
     * @param elapsed Time from the start of the job to its failure. @param expected Expected run time of the job.
     * @pre index < pool.size()
     */
    void failed(std::span<endpoint_view> pool, std::size_t index, duration elapsed, duration expected, time_point now, std::mt19937_64 &random) const;

    /** Ends ejections, those that would end first, until ejectionLimit() is met. Call after endpoints were removed from the pool. */
    void enforceEjectionLimit(std::span<endpoint_view> pool, time_point now) const;

    /** Number of endpoints of a pool of this size that may be ejected at the same time. */
    std::size_t ejectionLimit(std::size_t poolSize) const;

private:
    bool shouldEject(const ejection_state &state) const;
    duration backoffFor(std::uint32_t ejections, std::mt19937_64 &random) const;

    ejection_settings m_settings;
};

} // namespace parsleyglade
