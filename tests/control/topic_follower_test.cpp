#include "control/topic_follower.h"
#include "core/core.h"
#include "memory_store.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

topic_follower::settings followerSettings()
{
    topic_follower::settings settings;
    settings.wait = 100ms;
    settings.readInterval = 10ms;
    settings.retryDelay = 50ms;
    settings.maximumReadBytes = 16 * 1024;
    return settings;
}

/** A follower of the registry topic, and the newest value that it has reported for each key. */
struct follower_fixture
{
    manual_timer_service timers;
    memory_store store{timers};
    std::map<std::string, std::string> reported;
    topic_follower follower{timers,
                            store,
                            store_topic::registry,
                            followerSettings(),
                            [this](const store_record &record) {
                                if (record.value.empty()) {
                                    reported.erase(record.key);
                                } else {
                                    reported[record.key] = record.value;
                                }
                            },
                            [] {
                            }};
};

} // namespace

// Guards against records that are missed between the pages of the first load, or between the load and the first read.
TEST_CASE("a follower reports the newest record of each key, and later records", "[store]")
{
    follower_fixture fixture;
    fixture.store.pageSize = 2;
    fixture.store.put(store_topic::registry, {{"a", "1"}, {"b", "1"}, {"c", "1"}, {"a", "2"}});
    fixture.follower.start();
    fixture.timers.advance(100ms);
    CHECK(fixture.follower.isLoaded());
    CHECK(fixture.reported == std::map<std::string, std::string>{{"a", "2"}, {"b", "1"}, {"c", "1"}});

    fixture.store.put(store_topic::registry, {{"b", "2"}, {"c", ""}});
    fixture.timers.advance(200ms);
    CHECK(fixture.reported == std::map<std::string, std::string>{{"a", "2"}, {"b", "2"}});
}

// Guards against keys that seem to exist for ever because their removal was trimmed before it was read.
TEST_CASE("a key that was removed in trimmed history is reported as removed", "[store]")
{
    follower_fixture fixture;
    fixture.store.put(store_topic::registry, {{"a", "1"}, {"b", "1"}});
    fixture.follower.start();
    fixture.timers.advance(100ms);

    fixture.store.isDown = true;
    fixture.timers.advance(200ms);
    fixture.store.put(store_topic::registry, {{"b", ""}, {"c", "1"}});
    fixture.store.trimHistory(store_topic::registry);
    fixture.store.isDown = false;
    fixture.timers.advance(300ms);
    CHECK(fixture.reported == std::map<std::string, std::string>{{"a", "1"}, {"c", "1"}});
}

// Incident CONFIG: on a 10 Mbit/s link a follower read every configuration of a quick succession and fell behind.
TEST_CASE("a follower keeps up with large records that are written faster than its link can transfer them", "[store]")
{
    constexpr std::size_t recordBytes = 600'000;
    constexpr std::size_t tenMegabits = 1'250'000;
    constexpr int recordCount = 30;
    follower_fixture fixture;
    fixture.store.bytesPerSecond = tenMegabits;
    fixture.store.put(store_topic::registry, {{"wave", "first"}});
    fixture.follower.start();
    fixture.timers.advance(100ms);

    const auto largeRecord = [](int number) {
        return std::to_string(number) + std::string(recordBytes, ' ');
    };
    for (int number = 0; number < recordCount; ++number) {
        fixture.store.put(store_topic::registry, {{"large", largeRecord(number)}});
        if (number == recordCount / 2) {
            fixture.store.put(store_topic::registry, {{"wave", "second"}});
        }
        fixture.timers.advance(300ms);
        // The record that was written two seconds ago, or a newer one, has been reported.
        constexpr int recordsInBound = 7;
        if (number > recordsInBound) {
            REQUIRE(std::stoi(fixture.reported["large"]) >= number - recordsInBound);
        }
    }
    fixture.timers.advance(2s);
    CHECK(std::stoi(fixture.reported["large"]) == recordCount - 1);
    CHECK(fixture.reported["wave"] == "second");
}
