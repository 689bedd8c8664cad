#pragma once

#include "core/time_types.h"
#include "placement/ejection_settings.h"
#include "placement/endpoint_view.h"

#include <cstddef>
#include <random>
#include <span>

namespace parsleyglade {

/**
 * Ejects endpoints that fail what they start, with back-off, up to a share of the pool.
 *
 * An endpoint that fails quickly has few jobs in flight and would look idle; ejection and the failure share, which raises its expected work,
 * keep work away from it. The pool passed in is the whole pool, not only the endpoints of one data centre.
 * @see ejection_settings, ejection_state
 */
class endpoint_ejector
{
public:
    explicit endpoint_ejector(ejection_settings settings = {});

    /** Takes in that the endpoint completed a job. Ends its probation. */
    void succeeded(endpoint_view &endpoint) const;

    /** Takes in that the endpoint failed a job after running it for elapsed. May eject the endpoint. @pre index < pool.size() */
    void failed(std::span<endpoint_view> pool, std::size_t index, duration elapsed, duration expected, time_point now, std::mt19937_64 &random) const;

    /** Re-admits endpoints, those nearest their time first, until the share holds. To be called when endpoints have left the pool. */
    void enforceEjectionLimit(std::span<endpoint_view> pool, time_point now) const;

    /** Endpoints of a pool of this size that may be ejected together. */
    std::size_t ejectionLimit(std::size_t poolSize) const;

private:
    bool shouldEject(const ejection_state &state) const;
    duration backoffFor(std::uint32_t ejections, std::mt19937_64 &random) const;

    ejection_settings m_settings;
};

} // namespace parsleyglade
