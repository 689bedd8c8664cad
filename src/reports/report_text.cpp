#include "reports/report_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdio>

namespace parsleyglade {

namespace {

bool isContinuation(char character)
{
    return (static_cast<unsigned char>(character) & 0xc0U) == 0x80U;
}

bool isControl(char character)
{
    const auto value = static_cast<unsigned char>(character);
    return value < 0x20 || value == 0x7f;
}

std::size_t countColumns(std::string_view text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char character) { return !isContinuation(character); }));
}

/** Returns the byte position after a number of code points. @pre the text is valid UTF-8 and has at least as many code points */
std::size_t endOfColumn(std::string_view text, std::size_t columns)
{
    std::size_t end = 0;
    for (; end < text.size() && (columns > 0 || isContinuation(text[end])); ++end) {
        columns -= isContinuation(text[end]) ? 0 : 1;
    }
    return end;
}

/** Returns the text with invalid UTF-8 replaced. */
std::string toValidUtf8(std::string_view text)
{
    const std::string encoded = nlohmann::json(std::string(text)).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return nlohmann::json::parse(encoded).get<std::string>();
}

} // namespace

std::string cleanText(std::string_view text, std::size_t maximumBytes)
{
    std::string result = toValidUtf8(text.substr(0, maximumBytes));
    if (result.size() > maximumBytes) {
        std::size_t end = maximumBytes;
        while (end > 0 && isContinuation(result.at(end))) {
            --end;
        }
        result.resize(end);
    }

    for (char &character : result) {
        character = isControl(character) ? '?' : character;
    }
    return result;
}

std::string fitColumns(std::string_view text, std::size_t columns)
{
    std::string result = cleanText(text, text.size());
    const std::size_t length = countColumns(result);
    if (length <= columns) {
        return result + std::string(columns - length, ' ');
    }
    result.resize(endOfColumn(result, columns - 1));
    return result + '~';
}

std::string wrapLines(std::string_view text, std::size_t columns, std::size_t indent)
{
    assert(indent < columns);
    std::string rest = cleanText(text, text.size());
    std::string result;
    std::size_t start = 0; // Position in rest after the indent.
    while (countColumns(rest) > columns) {
        const std::size_t limit = endOfColumn(rest, columns);
        const std::size_t space = rest.rfind(' ', limit);
        const bool breaksAtSpace = space != std::string::npos && space > start;
        const std::size_t end = breaksAtSpace ? space : limit;
        result.append(rest, 0, end).append("\n");
        rest = std::string(indent, ' ') + rest.substr(breaksAtSpace ? end + 1 : end);
        start = indent;
    }
    return result + rest + '\n';
}

std::string escapeHtml(std::string_view text)
{
    std::string result;
    for (const char character : cleanText(text, text.size())) {
        switch (character) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        case '\'':
            result += "&#39;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

std::string formatNumber(double value, int digits)
{
    std::array<char, 512> text{}; // Large enough for all digits of the largest double.
    const int length = std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return {text.data(), static_cast<std::size_t>(length)};
}

std::string formatRange(double lowest, double highest, std::string_view separator)
{
    std::string result = formatNumber(lowest, 0);
    const std::string end = formatNumber(highest, 0);
    if (result != end) {
        result.append(separator).append(end);
    }
    return result;
}

std::string formatMinute(wall_time at)
{
    const auto day = std::chrono::floor<std::chrono::days>(at);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss time(at - day);
    std::array<char, 64> text{};
    const int length = std::snprintf(text.data(), text.size(), "%04d-%02u-%02u %02d:%02d", static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                                     static_cast<unsigned>(date.day()), static_cast<int>(time.hours().count()), static_cast<int>(time.minutes().count()));
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace parsleyglade
