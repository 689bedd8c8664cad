#include "reports/report_text.h"

#include <nlohmann/json.hpp>

#include <array>
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

/** The text with invalid UTF-8 replaced. */
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
    std::string result;
    std::size_t used = 0;
    for (const char character : cleanText(text, text.size())) {
        if (!isContinuation(character) && ++used > columns) {
            return result;
        }
        result += character;
    }
    return result + std::string(columns - used, ' ');
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
    std::array<char, 512> text{}; // Room for the largest double in full.
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
