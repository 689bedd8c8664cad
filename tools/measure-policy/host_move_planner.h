#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace parsleyglade {

/** What a planner of host moves sees of one pool, summed over all entry hosts. */
struct pool_observation
{
    std::uint32_t pool = 0;
    bool isSpare = false;
    std::vector<std::uint32_t> endpoints; /**< Endpoints that serve the pool now. */
    std::size_t queued = 0;
    std::size_t inFlight = 0;
    std::size_t arrivals = 0; /**< Jobs that arrived since the last call. */
};

/** An order to move one endpoint. It drains first, and then joins the target pool. */
struct host_move
{
    std::uint32_t endpoint = 0;
    std::uint32_t targetPool = 0;
};

/** Decides on moves of hosts between pools; called once a second of virtual time. Spare capacity policies implement it. */
class host_move_planner
{
public:
    host_move_planner() = default;
    host_move_planner(const host_move_planner &) = delete;
    host_move_planner &operator=(const host_move_planner &) = delete;
    virtual ~host_move_planner() = default;

    virtual std::string_view name() const = 0;

    virtual std::vector<host_move> plan(std::span<const pool_observation> pools, time_point now) = 0;
};

/** Moves no host. */
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
