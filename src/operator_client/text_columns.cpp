#include "operator_client/text_columns.h"

#include <algorithm>
#include <cassert>

namespace parsleyglade {

namespace {

/** Returns the number of characters of a UTF-8 text, assuming that each takes one column of the terminal. */
std::size_t width(const std::string &text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char byte) { return (static_cast<unsigned char>(byte) & 0xc0) != 0x80; }));
}

} // namespace

text_columns::text_columns(std::vector<std::string> headings)
    : m_rows{std::move(headings)}
{
}

void text_columns::add(std::vector<std::string> cells)
{
    assert(cells.size() == m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

std::string text_columns::text() const
{
    if (m_rows.size() == 1) {
        return {};
    }

    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const auto &row : m_rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], width(row[column]));
        }
    }

    std::string result;
    for (const auto &row : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += "  " + row[column] + std::string(widths[column] - width(row[column]), ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        result += line + "\n";
    }
    return result;
}

} // namespace parsleyglade
