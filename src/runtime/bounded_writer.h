#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <string>

namespace parsleyglade {

/** Limits of the log on standard output. */
struct bounded_writer_settings
{
    double linesPerSecond = 1'500;
    double burstLines = 3'000;
    std::size_t maximumBufferedBytes = std::size_t{256} * 1024; /**< Lines that the reader has not taken yet. */
    duration noticeInterval = std::chrono::seconds{1}; /**< Least time between two lines that tell how many were left out. */
};

/**
 * Writes lines to a file descriptor without ever blocking. Lines over the rate, and lines for which a slow reader leaves no room, are
 * left out and counted; a line that goes through later is preceded by one that tells the count, at most once in each notice interval.
 */
class bounded_writer
{
public:
    /** Makes the descriptor non-blocking. The descriptor stays the caller's. */
    bounded_writer(int descriptor, bounded_writer_settings settings);
    bounded_writer(const bounded_writer &) = delete;
    bounded_writer &operator=(const bounded_writer &) = delete;

    /** Writes the line and a line feed, or leaves it out. */
    void write(const std::string &line, time_point now);

    /** Lines left out since the start. */
    std::uint64_t droppedLines() const;

private:
    bool consumeToken(time_point now);
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
