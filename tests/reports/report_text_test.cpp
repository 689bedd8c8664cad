#include "random_events.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <sstream>

using namespace parsleyglade;
using namespace std::chrono_literals;

// Guards against lines that are wider than the limit (100 columns in reports), and against words lost and characters split at line breaks.
TEST_CASE("wrapped text contains every character and does not exceed the width")
{
    rc::prop("for random words", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        static const std::array<std::string, 5> pieces{" ", "a", "bc", "\u01b0", "\u20ac"};
        std::string text = "x";
        for (std::uint64_t left = random() % 300; left > 0; --left) {
            text += pieces.at(random() % (random() % 20 == 0 ? 5 : 4));
        }
        const auto withoutSpaces = [](std::string value) {
            std::erase_if(value, [](char character) { return character == ' ' || character == '\n'; });
            return value;
        };
        const std::string wrapped = wrapLines(text, 30, 4);
        RC_ASSERT(withoutSpaces(wrapped) == withoutSpaces(text));
        std::istringstream lines(wrapped);
        for (std::string line; std::getline(lines, line);) {
            RC_ASSERT(std::count_if(line.begin(), line.end(), [](char c) { return (static_cast<unsigned char>(c) & 0xc0U) != 0x80U; }) <= 30);
            RC_ASSERT(cleanText(line, line.size()) == line);
        }
    });
    CHECK(fitColumns("\u01b0\u01b0\u01b0", 2) == "\u01b0~");
    CHECK(fitColumns("\u01b0", 3) == "\u01b0  ");
}

// Guards against counts whose last digits are truncated at the right margin, so that they are read as smaller counts.
TEST_CASE("large numbers are rendered with all digits")
{
    burn_summary summary;
    summary.at = testStart;
    service_burn service;
    service.service = "a-service-with-a-name-that-is-longer-than-its-column";
    service.allowedJobs = 123'456'789'012.3;
    service.remainingShare = -4'321.0;
    for (std::size_t cause = 0; cause < endCauseCount; ++cause) {
        service.windows.back().counts.add(static_cast<end_cause>(cause), 912'345'678'901 + cause);
    }
    for (latency_range &range : service.latencies) {
        range = {1, {1, {}}, {1, {1e8, 2e8, 3e8, 4e8}}};
    }
    summary.services.push_back(service);
    const std::string text = renderText(summary);
    for (const char *figure : {"912345678902", "912345678905", "maintenance 912345678906", "5474074073421", "p99.9 0..400000000", "< -999 %"}) {
        CHECK(text.find(figure) != std::string::npos);
    }
}
