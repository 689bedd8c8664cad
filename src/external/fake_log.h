#pragma once

#include "external/delayed_calls.h"
#include "external/fake_log_faults.h"
#include "external/fake_log_settings.h"
#include "external/log_client.h"

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>

namespace parsleyglade {

/**
 * In-memory fake of the platform's log that can inject faults. All times are those of a timer service and all random choices those of one
 * seeded generator, so that the same calls at the same times produce the same history. Callbacks do not run after destruction.
 * @see fake_log_client, standin_log
 */
class fake_log
{
public:
    /** @param timers Must outlive this object. */
    fake_log(timer_service &timers, fake_log_settings settings);
    ~fake_log();
    fake_log(const fake_log &) = delete;
    fake_log &operator=(const fake_log &) = delete;

    const fake_log_faults &faults() const;

    /** Replaces the faults immediately. An outage ends the reads that are waiting for records, as unavailable. */
    void setFaults(const fake_log_faults &faults);

    /** Appends like a caller over the network, with latency and faults. @see log_client::append */
    void append(const std::string &stream, std::string payload, std::function<void(append_result)> done);

    /** Reads like a caller over the network, with latency and faults. @see log_client::read */
    void read(const std::string &stream, log_offset from, std::size_t maximumRecords, duration wait, std::function<void(read_result)> done);

    /** Writes a record immediately, without limits and faults. Returns its offset. */
    log_offset write(const std::string &stream, std::string payload);

    /** Removes the records with offsets below the given one. Offsets beyond the head remove all records. */
    void trim(const std::string &stream, log_offset before);

    /** Offset that the next record of the stream will get. */
    log_offset head(const std::string &stream) const;

    /** Offset of the oldest retained record; equal to head() when there is none. */
    log_offset earliest(const std::string &stream) const;

    /** The retained records, in order of offset. */
    std::vector<log_record> records(const std::string &stream) const;

    /** Names of the streams written to so far. */
    std::vector<std::string> streamNames() const;

    /** Number of records written to all streams since construction. */
    std::uint64_t writeCount() const;

private:
    struct stored_record
    {
        std::string payload;
        time_point writtenAt;
    };

    struct pending_read;

    struct stream_state
    {
        log_offset earliest = 0;
        std::deque<stored_record> records;
        std::list<std::shared_ptr<pending_read>> pendingReads;
    };

    bool drawFault(double probability);
    duration randomDuration(duration maximum);
    duration halfLatency() const;
    duration takeToken();
    void handleAppend(const std::string &stream, const std::string &payload, const std::function<void(append_result)> &done);
    void completeAppend(duration delay, append_result result, std::function<void(append_result)> done);
    void handleRead(const std::string &stream, const std::shared_ptr<pending_read> &call);
    void completeRead(const std::string &stream, const std::shared_ptr<pending_read> &call, log_offset head);
    void applyRetention(stream_state &stream);

    timer_service &m_timers;
    fake_log_settings m_settings;
    fake_log_faults m_faults;
    std::mt19937_64 m_random;
    std::map<std::string, stream_state> m_streams;
    double m_tokens = 0;
    time_point m_tokensAt;
    std::uint64_t m_writeCount = 0;
    delayed_calls m_calls;
};

} // namespace parsleyglade
