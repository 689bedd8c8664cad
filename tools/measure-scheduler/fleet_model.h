#pragma once

#include "scheduler/executor_description.h"
#include "scheduler/executor_orders.h"

#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleyglade {

/** The response of a modelled executor to a poll. */
struct poll_delivery
{
    std::string executor;
    poll_response response;
    time_point sentAt{}; /**< When the poll was sent. */
};

/** Executors that carry out every order: tasks end after their run time, and long polls are answered when a run ends or their wait is over. */
class fleet_model
{
public:
    /** @param delay one-way delay between the leader and an executor */
    explicit fleet_model(duration delay);

    void add(executor_description description);

    /** Starts a run that lasts the given time. Returns the response to the order. */
    order_response start(const start_order &order, duration runTime, time_point now);

    void poll(const poll_order &order, time_point now);

    /** Ends runs that are due and returns the poll responses that arrive by the given time. */
    std::vector<poll_delivery> advance(time_point now);

private:
    struct pending_poll
    {
        poll_order order;
        time_point sentAt{};
        time_point waitEnd{};
    };

    struct modelled_run
    {
        task_id task;
        int run = 0;
    };

    struct modelled_executor
    {
        executor_description description;
        std::vector<modelled_run> running;
        std::vector<finished_entry> finished;
        std::int64_t lastNumber = 0;
        std::optional<pending_poll> pending;
    };

    struct run_end_event
    {
        time_point when{};
        std::string executor;
        task_id task;
        int run = 0;

        bool operator>(const run_end_event &other) const
        {
            return when > other.when;
        }
    };

    bool isAnswerDue(const modelled_executor &executor, time_point now) const;
    poll_delivery answer(const std::string &id, modelled_executor &executor, time_point now);
    static std::int64_t clock(time_point now);

    duration m_delay;
    std::unordered_map<std::string, modelled_executor> m_executors;
    std::priority_queue<run_end_event, std::vector<run_end_event>, std::greater<>> m_ends;
};

} // namespace parsleyglade
