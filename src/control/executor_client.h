#pragma once

#include "scheduler/executor_orders.h"

#include <functional>

namespace parsleyglade {

/** Sends orders to executors. Each order is sent at most once; retries are up to the scheduler. Each callback runs once, on the loop's thread, never
    before the call has returned. */
class executor_client
{
public:
    executor_client() = default;
    executor_client(const executor_client &) = delete;
    executor_client &operator=(const executor_client &) = delete;
    virtual ~executor_client() = default;

    virtual void start(const start_order &order, std::function<void(order_response)> done) = 0;
    virtual void stop(const stop_order &order, std::function<void(order_response)> done) = 0;
    virtual void pace(const pace_order &order, std::function<void(order_response)> done) = 0;
    /** Requests the running and ended runs of the executor, which may delay its response by up to poll_order::wait until a run ends. */
    virtual void poll(const poll_order &order, std::function<void(poll_response)> done) = 0;
};

} // namespace parsleyglade
