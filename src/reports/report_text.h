#pragma once

#include "core/time_types.h"

#include <string>
#include <string_view>

namespace parsleyglade {

/** Valid UTF-8 of at most the given number of bytes, cut between characters, without control characters. */
std::string cleanText(std::string_view text, std::size_t maximumBytes);

/** The text in exactly so many columns: cut with a closing ~, or padded on the right. Counts each code point as one column. */
std::string fitColumns(std::string_view text, std::size_t columns);

/** The text in lines of at most so many columns, broken at spaces where there are any; further lines start with the indent. */
std::string wrapLines(std::string_view text, std::size_t columns, std::size_t indent);

/** Escapes text for HTML elements and quoted attributes. */
std::string escapeHtml(std::string_view text);

/** A number with a fixed number of digits after the point. */
std::string formatNumber(double value, int digits);

/** A range of whole numbers with a separator; one number when both look the same. */
std::string formatRange(double lowest, double highest, std::string_view separator);

/** Coordinated universal time to the minute, such as 2026-12-04 04:10. */
std::string formatMinute(wall_time at);

} // namespace parsleyglade
