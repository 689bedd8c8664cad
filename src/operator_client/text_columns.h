#pragma once

#include <string>
#include <vector>

namespace parsleyglade {

/** Text table with aligned columns. */
class text_columns
{
public:
    /** @param headings cells of the first row; they determine the number of columns */
    explicit text_columns(std::vector<std::string> headings);

    /**
     * Appends a row.
     * @pre as many cells as headings
     */
    void add(std::vector<std::string> cells);

    /** Returns the headings and rows, one line each; empty if there are no rows. */
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace parsleyglade
