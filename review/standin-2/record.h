#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;

/** Writes what was sent, answered and run to a file, one line each, with the milliseconds since the start. */
class record
{
public:
    explicit record(const std::string &path);

    void write(const std::string &line);

    /** Milliseconds since the start. */
    std::int64_t now() const;

private:
    time_point m_start = clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace review
