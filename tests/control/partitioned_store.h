#pragma once

#include "memory_store.h"

namespace parsleyglade {

/** One entry host's connection to a store that it shares with others. While partitioned, calls have no effect and time out. */
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
        if (!isPartitioned) {
            m_shared.append(topic, entries, expectedEnd, std::move(done));
            return;
        }
        fail([done] { done({store_append_status::unknown, 0, 0, "no response"}); });
    }

    void read(store_topic topic, std::uint64_t from, store_read_bounds bounds, std::function<void(store_read_result)> done) override
    {
        if (!isPartitioned) {
            m_shared.read(topic, from, bounds, std::move(done));
            return;
        }
        fail([done] { done({}); });
    }

    void readNewest(store_topic topic, const std::string &afterKey, std::function<void(store_page)> done) override
    {
        if (!isPartitioned) {
            m_shared.readNewest(topic, afterKey, std::move(done));
            return;
        }
        fail([done] { done({}); });
    }

    bool isPartitioned = false;

private:
    void fail(std::function<void()> response)
    {
        constexpr duration requestTimeout = std::chrono::milliseconds{100};
        m_pending.push_back(std::make_shared<timer_subscription>(m_timers.after(requestTimeout, std::move(response))));
    }

    timer_service &m_timers;
    memory_store &m_shared;
    std::vector<std::shared_ptr<timer_subscription>> m_pending;
};

} // namespace parsleyglade
