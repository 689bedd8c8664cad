#pragma once

#include "core/time_types.h"
#include "scheduler/scheduler_action.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyglade {

/** The topics of the platform's log that the control plane uses. Each has one partition and keeps the newest record of each key. */
enum class store_topic {
    journal, /**< Jobs and their progress; written by the leader only. */
    leader, /**< Announces the leader to the other entry hosts. */
    operators, /**< Written by the operator: configuration and maintenance waves. */
    registry, /**< Written by the executors. */
    status, /**< Read by the operator. */
};

/** Names by number of the topic, for logs. */
constexpr std::array<std::string_view, 5> storeTopicNames{"journal", "leader", "operators", "registry", "status"};

constexpr std::string_view name(store_topic topic)
{
    return storeTopicNames.at(static_cast<std::size_t>(topic));
}

/** One record of a topic. */
struct store_record
{
    std::uint64_t offset = 0;
    std::string key;
    std::string value; /**< Empty when the key was removed. */
};

/** What is known about an append. */
enum class store_append_status {
    appended,
    conflict, /**< Certainly not appended: the topic does not end at the expected offset. */
    refused, /**< Certainly not appended. */
    unknown, /**< May have been appended, or may be later if the condition still holds. */
};

struct store_append_result
{
    store_append_status status = store_append_status::unknown;
    std::uint64_t offset = 0; /**< Of the first record, when appended. */
    std::uint64_t end = 0; /**< Offset that the next record will get, when appended or in conflict. */
    std::string reason;
};

enum class store_read_status {
    ok,
    trimmed, /**< Records from the offset on were removed; load the newest instead. */
    unavailable,
};

/** How a read waits and how much it brings. */
struct store_read_bounds
{
    duration wait{}; /**< Time to wait for the first record when there are none. */
    std::size_t maximumBytes = std::size_t{1024} * 1024; /**< No further record is added beyond this size; the first one comes in any case. */
};

struct store_read_result
{
    store_read_status status = store_read_status::unavailable;
    std::vector<store_record> records; /**< In order of offset. */
    std::uint64_t next = 0; /**< Offset to read from next time. */
    std::uint64_t end = 0; /**< Offset that the next record of the topic would have got when the store answered. */
    std::string reason;
};

/** A page of the newest record of each key. Pages are not a snapshot. */
struct store_page
{
    bool isAvailable = false;
    std::vector<store_record> records;
    bool hasMore = false;
    std::uint64_t end = 0; /**< Offset that the next record of the topic will get. */
    std::string reason;
};

/** The platform's log as the control plane uses it. Each callback runs once, on the loop's thread, never before the call has returned. */
class keyed_store
{
public:
    keyed_store() = default;
    keyed_store(const keyed_store &) = delete;
    keyed_store &operator=(const keyed_store &) = delete;
    virtual ~keyed_store() = default;

    /** Appends the entries all or nothing, only where the topic ends at the expected offset if one is given. */
    virtual void append(store_topic topic, const std::vector<journal_entry> &entries, std::optional<std::uint64_t> expectedEnd,
                        std::function<void(store_append_result)> done)
        = 0;

    /** Reads records at and after the offset; those beyond the bounds are left for the next read. */
    virtual void read(store_topic topic, std::uint64_t from, store_read_bounds bounds, std::function<void(store_read_result)> done) = 0;

    /** Reads the newest record of each key after the given one; an empty key starts from the first. */
    virtual void readNewest(store_topic topic, const std::string &afterKey, std::function<void(store_page)> done) = 0;
};

} // namespace parsleyglade
