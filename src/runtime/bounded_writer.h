#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <string>

namespace parsleyglade {

/** Limits of a bounded_writer. */
struct bounded_writer_settings
{
    double linesPerSecond = 1'500;
    double burstLines = 3'000;
    std::size_t maximumBufferedBytes = std::size_t{256} * 1024; /**< Lines that the reader has not read yet. */
    duration noticeInterval = std::chrono::seconds{1}; /**< Minimum time between two lines that report the number of dropped lines. */
    double reservedLines = 0; /**< Share of the burst that is kept for lines of the priority reserved. */
};

/** Which lines are dropped first. */
enum class line_priority {
    normal,
    reserved, /**< Rare lines that matter most under overload, such as warnings and periodic summaries. */
};

/**
 * Writes lines to a file descriptor without ever blocking. Lines that exceed the rate limit, and lines that do not fit in the buffer because
 * the reader is slow, are dropped and counted. The count is reported in a line of its own before the next line that is written, at most
 * once in each notice interval.
 */
class bounded_writer
{
public:
    /** Sets the descriptor to non-blocking mode. The caller keeps the ownership of the descriptor. */
    bounded_writer(int descriptor, bounded_writer_settings settings);
    bounded_writer(const bounded_writer &) = delete;
    bounded_writer &operator=(const bounded_writer &) = delete;

    /** Writes or buffers the line and a line feed, or drops the line. */
    void write(const std::string &line, time_point now, line_priority priority = line_priority::normal);

    /** Whether a line of normal priority would be dropped because of the rate limit. Then counts it as dropped, so that the caller need not format it. */
    bool dropUnformatted(time_point now);

    /** Returns the number of lines dropped so far. */
    std::uint64_t droppedLines() const;

private:
    void refillTokens(time_point now);
    bool consumeToken(time_point now, line_priority priority);
    bool hasToken(line_priority priority) const;
    void flush();

    int m_descriptor;
    bounded_writer_settings m_settings;
    double m_tokens;
    time_point m_refilledAt{};
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_unreportedLines = 0;
    time_point m_nextNotice{};
};

} // namespace parsleyglade
