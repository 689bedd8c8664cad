#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace parsleyglade {

/** State of one pool as input to a host_move_planner, summed over all entry hosts. */
struct pool_observation
{
    std::uint32_t pool = 0;
    bool isSpare = false;
    std::vector<std::uint32_t> endpoints; /**< Endpoints that serve the pool now, without those that are moving. */
    std::size_t queued = 0; /**< Queued jobs. */
    std::size_t inFlight = 0; /**< Jobs in flight. */
    std::size_t arrivals = 0; /**< Jobs that arrived since the previous call of the planner. */
};

/** Decision to move one endpoint, which drains first and then joins the target pool. */
struct host_move
{
    std::uint32_t endpoint = 0;
    std::uint32_t targetPool = 0;
};

/** Decides on moves of hosts between pools. Called once per second of virtual time. Interface for spare capacity policies. */
class host_move_planner
{
public:
    host_move_planner() = default;
    host_move_planner(const host_move_planner &) = delete;
    host_move_planner &operator=(const host_move_planner &) = delete;
    virtual ~host_move_planner() = default;

    virtual std::string_view name() const = 0;

    /** Returns the moves to start now. Moves of endpoints that are faulty or already moving are ignored. */
    virtual std::vector<host_move> plan(std::span<const pool_observation> pools, time_point now) = 0;
};

/** Planner that never moves a host. */
class no_host_moves final : public host_move_planner
{
public:
    std::string_view name() const override
    {
        return "none";
    }

    std::vector<host_move> plan(std::span<const pool_observation> /*pools*/, time_point /*now*/) override
    {
        return {};
    }
};

} // namespace parsleyglade
