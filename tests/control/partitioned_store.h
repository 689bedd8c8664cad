#pragma once

#include "memory_store.h"

#include <optional>

namespace parsleyglade {

/** One entry host's connection to a store that it shares with others. While partitioned, calls have no effect and time out; while refused, they have no effect
    and fail at once, as with a connection that is reset. */
class partitioned_store final : public keyed_store
{
public:
    partitioned_store(timer_service &timers, memory_store &shared)
        : m_timers(timers)
        , m_shared(shared)
    {
    }

    void append(store_topic topic, const std::vector<journal_entry> &entries, std::optional<std::uint64_t> expectedEnd,
                std::function<void(store_append_result)> done) override
    {
        if (refusesAppends && topic == store_topic::journal) {
            fail([done] { done({store_append_status::refused, 0, 0, "refused"}); });
            return;
        }
        if (isReachable()) {
            m_shared.append(topic, entries, expectedEnd, std::move(done));
            return;
        }
        if (isRefused && topic == store_topic::journal && !firstRefusedAppendAt) {
            firstRefusedAppendAt = m_timers.now();
        }
        fail([done, reason = failureReason()] { done({store_append_status::unknown, 0, 0, reason}); });
    }

    void read(store_topic topic, std::uint64_t from, store_read_bounds bounds, std::function<void(store_read_result)> done) override
    {
        const auto failRead = [this, done] {
            store_read_result result;
            result.reason = failureReason();
            done(result);
        };
        if (!isReachable()) {
            fail(failRead);
            return;
        }
        // A read that waits when the store begins to refuse calls loses its connection as well.
        m_shared.read(topic, from, bounds, [this, done = std::move(done), failRead](store_read_result result) {
            if (isRefused) {
                failRead();
            } else {
                done(std::move(result));
            }
        });
    }

    void readNewest(store_topic topic, const std::string &afterKey, std::function<void(store_page)> done) override
    {
        if (isReachable()) {
            m_shared.readNewest(topic, afterKey, std::move(done));
            return;
        }
        fail([done, reason = failureReason()] {
            store_page page;
            page.reason = reason;
            done(page);
        });
    }

    bool isPartitioned = false;
    bool isRefused = false;
    bool refusesAppends = false; /**< Appends to the journal are certainly not carried out, while reads succeed. */
    std::optional<time_point> firstRefusedAppendAt; /**< When the first append to the journal was refused. */

private:
    bool isReachable() const
    {
        return !isPartitioned && !isRefused;
    }

    std::string failureReason() const
    {
        return isRefused ? "connection reset" : "no response";
    }

    void fail(std::function<void()> response)
    {
        constexpr duration requestTimeout = std::chrono::milliseconds{100};
        constexpr duration resetDelay = std::chrono::milliseconds{1};
        m_pending.push_back(std::make_shared<timer_subscription>(m_timers.after(isRefused ? resetDelay : requestTimeout, std::move(response))));
    }

    timer_service &m_timers;
    memory_store &m_shared;
    std::vector<std::shared_ptr<timer_subscription>> m_pending;
};

} // namespace parsleyglade
