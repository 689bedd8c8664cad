#pragma once

#include "core/outcome.h"
#include "tables/tables.h"

#include <string>

namespace parsleyglade {

/** Paths of the files with both tables. */
struct table_files
{
    std::string routes;
    std::string pools;
};

/** Text of a file. Fails with invalid_value when it can't be read, and table_too_large over the limit in bytes. */
outcome<std::string> readFile(const std::string &path, std::size_t maximumBytes);

/** Writes a file as a whole. Fails with invalid_value. */
outcome<bool> writeFile(const std::string &path, const std::string &text);

} // namespace parsleyglade
