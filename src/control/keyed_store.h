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

/** The topics of the platform's log that the control plane uses. Each has one partition and retains at least the newest record of each key. */
enum class store_topic {
    journal, /**< Jobs and their progress. Written by the leader only. */
    leader, /**< Announcement of the leader to the other entry hosts. */
    operators, /**< Configuration and maintenance waves. Written by the operator. */
    registry, /**< Descriptions of the executors. Written by the executors. */
    status, /**< Status of maintenance waves. Read by the operator. */
};

/** Names of the topics in logs, indexed by store_topic. */
constexpr std::array<std::string_view, 5> storeTopicNames{"journal", "leader", "operators", "registry", "status"};

/** The name of the topic in logs. */
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

/** What is known about the result of an append. */
enum class store_append_status {
    appended,
    conflict, /**< Certainly not appended, because the topic does not end at the expected offset. */
    refused, /**< Certainly not appended for another reason. */
    unknown, /**< May have been appended, or may still be appended later while the condition holds. */
};

/** Result of an append. */
struct store_append_result
{
    store_append_status status = store_append_status::unknown;
    std::uint64_t offset = 0; /**< Offset of the first record; set when appended. */
    std::uint64_t end = 0; /**< Offset of the next record; set when appended and on a conflict. */
    std::string reason; /**< Description of the failure, for the log. */
};

/** Whether a read succeeded, and if not, why. */
enum class store_read_status {
    ok,
    trimmed, /**< The record at the offset was removed. Load the newest records instead. */
    unavailable, /**< The store did not respond, or refused the read. */
};

/** Limits of a read. */
struct store_read_bounds
{
    duration wait{}; /**< How long to wait for a record when there is none. */
    std::size_t maximumBytes = std::size_t{1024} * 1024; /**< No further record is added once this size is reached; the first one is always returned. */
};

/** Result of a read. */
struct store_read_result
{
    store_read_status status = store_read_status::unavailable;
    std::vector<store_record> records; /**< Sorted by offset. */
    std::uint64_t next = 0; /**< Offset from which to continue. */
    std::uint64_t end = 0; /**< End of the topic at the time of the response: the offset of the next record to be appended. */
    std::string reason;
};

/** A page of the newest records of all keys. Consecutive pages are not a consistent snapshot. */
struct store_page
{
    bool isAvailable = false;
    std::vector<store_record> records;
    bool hasMore = false;
    std::uint64_t end = 0; /**< End of the topic: the offset of the next record to be appended. */
    std::string reason;
};

/** Client of the platform's log, as far as the control plane uses it. Each callback runs once, on the loop's thread, never before the call has returned. */
class keyed_store
{
public:
    keyed_store() = default;
    keyed_store(const keyed_store &) = delete;
    keyed_store &operator=(const keyed_store &) = delete;
    virtual ~keyed_store() = default;

    /** Appends the entries atomically.
        @param expectedEnd if set, the append is conditional: it fails with a conflict unless the topic ends at this offset. */
    virtual void append(store_topic topic, const std::vector<journal_entry> &entries, std::optional<std::uint64_t> expectedEnd,
                        std::function<void(store_append_result)> done)
        = 0;

    /** Reads records from the offset on, up to the bounds. */
    virtual void read(store_topic topic, std::uint64_t from, store_read_bounds bounds, std::function<void(store_read_result)> done) = 0;

    /** Reads a page of the newest records, sorted by key.
        @param afterKey key after which the page starts; empty for the first page. */
    virtual void readNewest(store_topic topic, const std::string &afterKey, std::function<void(store_page)> done) = 0;
};

} // namespace parsleyglade
