#include "runtime/bounded_writer.h"

#include "pipe_fixture.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

// Guards against notices of dropped lines that displace the lines themselves under steady overload.
TEST_CASE("dropped lines are reported at most once in each interval")
{
    const pipe_fixture pipe;
    constexpr double linesPerSecond = 10;
    bounded_writer writer(pipe.ends[1], {linesPerSecond, 1, 16 * 1024, 1s});
    for (int millisecond = 0; millisecond < 3'000; ++millisecond) {
        writer.write("line", time_point{1s} + std::chrono::milliseconds{millisecond});
    }
    const std::string text = pipe.readAll();
    std::size_t notices = 0;
    for (auto found = text.find("left out"); found != std::string::npos; found = text.find("left out", found + 1)) {
        ++notices;
    }
    CHECK(notices >= 2);
    CHECK(notices <= 3);
}

// Guards against a process that blocks, and so stops serving requests, because its log is not read.
TEST_CASE("a stopped reader does not block the writer, and later receives the number of dropped lines")
{
    const pipe_fixture pipe;
    bounded_writer writer(pipe.ends[1], {1e9, 1e9, 16 * 1024});
    const std::string line(100, 'x');
    for (int number = 0; number < 5'000; ++number) {
        writer.write(line, time_point{1s});
    }
    CHECK(writer.droppedLines() > 0);

    CHECK_FALSE(pipe.readAll().empty());
    writer.write("last", time_point{2s});
    writer.write("really last", time_point{2s});
    const std::string rest = pipe.readAll();
    CHECK(rest.find("lines were left out count=") != std::string::npos);
    CHECK(rest.ends_with("really last\n"));
    const auto isCompleteLine = [&](const std::string &each) {
        return each.empty() || each == line || each.starts_with("log: ") || each.ends_with("last");
    };
    std::size_t lineStart = rest.find('\n') + 1; // the first line may be the rest of one that was partly read above
    for (std::size_t lineEnd = 0; (lineEnd = rest.find('\n', lineStart)) != std::string::npos; lineStart = lineEnd + 1) {
        CHECK(isCompleteLine(rest.substr(lineStart, lineEnd - lineStart)));
    }
}

// Guards against a rate limit that has no effect, and against a wrong count of dropped lines.
TEST_CASE("lines over the rate limit are dropped and counted")
{
    const pipe_fixture pipe;
    bounded_writer writer(pipe.ends[1], {10, 20, 16 * 1024});
    for (int number = 0; number < 100; ++number) {
        writer.write("line", time_point{1s});
    }
    CHECK(writer.droppedLines() == 80);
    pipe.readAll();
    writer.write("later", time_point{2s});
    CHECK(pipe.readAll() == "log: lines were left out count=80\nlater\n");
}

// Guards against formatting lines that are dropped anyway, which takes time from an overloaded process.
TEST_CASE("a line that would exceed the rate limit is counted before it is formatted")
{
    const pipe_fixture pipe;
    bounded_writer writer(pipe.ends[1], {1, 1, 16 * 1024, 1s});
    const time_point start{1s};
    CHECK_FALSE(writer.dropUnformatted(start));
    writer.write("first", start);
    CHECK(writer.dropUnformatted(start));
    CHECK(writer.droppedLines() == 1);
    CHECK_FALSE(writer.dropUnformatted(start + 1s));
    writer.write("second", start + 1s);
    CHECK(pipe.readAll() == "first\nlog: lines were left out count=1\nsecond\n");
}

// Guards against losing warnings and periodic summaries in a flood of informational lines, just when they tell what overloads the process.
TEST_CASE("a flood of lines of normal priority leaves room for reserved ones")
{
    const pipe_fixture pipe;
    bounded_writer_settings settings;
    settings.linesPerSecond = 0;
    settings.burstLines = 20;
    settings.reservedLines = 5;
    bounded_writer writer(pipe.ends[1], settings);
    for (int number = 0; number < 100; ++number) {
        writer.write("normal", time_point{1s});
    }
    CHECK(writer.droppedLines() == 85);
    CHECK(writer.dropUnformatted(time_point{1s}));
    writer.write("summary", time_point{1s}, line_priority::reserved);
    CHECK(pipe.readAll().ends_with("summary\n"));
}
