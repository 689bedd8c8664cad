#pragma once

#include <string>
#include <vector>

namespace parsleyglade {

/** Rows of text whose columns are aligned when printed. */
class text_columns
{
public:
    explicit text_columns(std::vector<std::string> headings);

    /** @pre as many cells as headings */
    void add(std::vector<std::string> cells);

    /** The headings and rows; nothing when there are no rows. */
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace parsleyglade
