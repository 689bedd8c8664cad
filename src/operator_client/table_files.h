#pragma once

#include "core/outcome.h"
#include "tables/tables.h"

#include <string>

namespace parsleyglade {

/** Paths of the files with the routes table and the pools table. */
struct table_files
{
    std::string routes;
    std::string pools;
};

/** Reads a file. Fails with invalid_value if it can't be opened or read, and with table_too_large if it has more than maximumBytes bytes. */
outcome<std::string> readFile(const std::string &path, std::size_t maximumBytes);

/** Writes a file, replacing its content. Fails with invalid_value if it can't be written. Always true on success. */
outcome<bool> writeFile(const std::string &path, const std::string &text);

} // namespace parsleyglade
