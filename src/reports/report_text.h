#pragma once

#include "core/time_types.h"

#include <string>
#include <string_view>

namespace parsleyglade {

/** Returns the text as valid UTF-8 of at most maximumBytes, truncated between characters. Control characters are replaced by question marks. */
std::string cleanText(std::string_view text, std::size_t maximumBytes);

/** Returns the text in exactly the given number of columns, padded on the right or truncated with a final ~. Each code point is one column. */
std::string fitColumns(std::string_view text, std::size_t columns);

/**
 * Wraps the text into lines of at most the given number of columns, each with a line feed. Breaks at spaces where possible.
 *
 * @param indent number of spaces in front of the second and further lines, less than columns
 */
std::string wrapLines(std::string_view text, std::size_t columns, std::size_t indent);

/** Escapes text for HTML elements and quoted attributes. */
std::string escapeHtml(std::string_view text);

/** Formats a number with a fixed number of digits after the decimal point. */
std::string formatNumber(double value, int digits);

/** Formats a range as two rounded numbers with a separator, or as one number if both are rounded to the same. */
std::string formatRange(double lowest, double highest, std::string_view separator);

/** Formats a time in UTC to the minute, such as 2026-12-04 04:10. */
std::string formatMinute(wall_time at);

} // namespace parsleyglade
