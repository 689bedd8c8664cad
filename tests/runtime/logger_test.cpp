#include "runtime/logger.h"

#include "allocation_counter.h"
#include "pipe_fixture.h"

#include <boost/log/attributes/function.hpp>
#include <boost/log/core.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

// More than the burst of 3,000 lines and what is refilled at 1,500 lines a second while they are written.
constexpr int floodLines = 6'000;
constexpr int linesPerRead = 100; // the lines fit in the pipe, so that only the rate limit drops some

/** Writes the log to a pipe during its life, and counts the records that are opened. */
struct logged_pipe : pipe_fixture
{
    explicit logged_pipe(log_level minimum)
    {
        setUpBoundedLogging(minimum, "test", ends[1]);
        const auto count = [this] {
            return ++openedRecords;
        };
        attribute = boost::log::core::get()->add_global_attribute("Count", boost::log::attributes::make_function(count)).first;
    }

    ~logged_pipe()
    {
        boost::log::core::get()->remove_global_attribute(attribute);
        boost::log::core::get()->remove_all_sinks();
    }

    logged_pipe(const logged_pipe &) = delete;
    logged_pipe &operator=(const logged_pipe &) = delete;

    template <typename Write> std::string flood(Write write) const
    {
        std::string text;
        for (int number = 0; number < floodLines; ++number) {
            write(number);
            if (number % linesPerRead == 0) {
                text += readAll();
            }
        }
        return text + readAll();
    }

    int openedRecords = 0; /**< A global attribute is evaluated once for each record. */
    boost::log::attribute_set::iterator attribute;
};

std::uint64_t countLines(const std::string &text, const std::string &part)
{
    std::uint64_t count = 0;
    for (auto found = text.find(part); found != std::string::npos; found = text.find(part, found + 1)) {
        ++count;
    }
    return count;
}

std::uint64_t sumOfNotices(const std::string &text)
{
    const std::string notice = "lines were left out count=";
    std::uint64_t sum = 0;
    for (auto found = text.find(notice); found != std::string::npos; found = text.find(notice, found + 1)) {
        sum += std::stoull(text.substr(found + notice.size()));
    }
    return sum;
}

template <typename Write> void checkNoWork(const logged_pipe &pipe, Write write)
{
    std::uint64_t allocations = 0;
    int openedRecords = 0;
    int droppedLines = 0;
    for (int number = 0; number < linesPerRead; ++number) {
        const std::uint64_t droppedBefore = droppedLogLines();
        const std::uint64_t allocationsBefore = allocationCount();
        const int openedBefore = pipe.openedRecords;
        write();
        const std::uint64_t made = allocationCount() - allocationsBefore;
        if (droppedLogLines() != droppedBefore) { // otherwise the limit had been refilled by a line
            allocations += made;
            openedRecords += pipe.openedRecords - openedBefore;
            ++droppedLines;
        }
    }
    CAPTURE(droppedLines);
    CHECK(droppedLines > 0);
    CHECK(allocations == 0);
    CHECK(openedRecords == 0);
}

} // namespace

// Guards against a dropped line that is counted twice or never, whether its writer asked first or not.
TEST_CASE("each line of the log is either written or counted once as dropped")
{
    const logged_pipe pipe(log_level::info);
    const logger log("flood");
    std::string text = pipe.flood([&](int number) {
        if (number % 2 == 0 || log.acceptsInfo()) {
            log.info("a line", {{"number", number}});
        }
    });
    CHECK(droppedLogLines() > 0);
    CHECK(countLines(text, "flood: a line number=") + droppedLogLines() == floodLines);

    std::this_thread::sleep_for(1100ms); // a notice follows the last one after a second
    log.warning("last");
    text += pipe.readAll();
    CHECK(text.ends_with("last\n"));
    CHECK(sumOfNotices(text) == droppedLogLines());
}

// Guards against lines that nobody asked for in the number of dropped lines.
TEST_CASE("a line below the minimum level does not count as dropped")
{
    const logged_pipe pipe(log_level::notice);
    const logger log("flood");
    pipe.flood([&](int) { log.notice("a line"); });
    const std::uint64_t droppedLines = droppedLogLines();
    CHECK(droppedLines > 0);

    log.debug("not wanted");
    log.info("not wanted");
    CHECK_FALSE(log.acceptsInfo());
    CHECK(droppedLogLines() == droppedLines);
    CHECK(countLines(pipe.readAll(), "not wanted") == 0);
}

// Guards against an overloaded process that spends its time on lines which the limit drops.
TEST_CASE("a dropped line allocates nothing and opens no record")
{
    const logged_pipe pipe(log_level::info);
    const logger log("flood");
    pipe.flood([&](int) { log.info("a line"); });
    CHECK(pipe.openedRecords > 0);

    checkNoWork(pipe, [&] { log.info("a line"); });
    const std::string input(100, 'x');
    checkNoWork(pipe, [&] {
        if (log.acceptsInfo()) {
            log.info("a line " + input, {{"input", input}});
        }
    });
}
