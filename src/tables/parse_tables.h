#pragma once

#include "tables/joined_tables.h"

namespace parsleyglade {

/** Maximum size of one table as JSON text, in bytes; applies to the text as received and to its canonical form. */
constexpr std::size_t maximumTableBytes = std::size_t{256} * 1024;

/**
 * Parses and checks both tables. Either both are valid or the result contains no tables.
 *
 * Reports all failures together, up to json_checker::maximumFailures, each with a JSON pointer into its table ("/routes/..." or
 * "/pools/..."). Constraints between entries are checked as well, unless a failure makes the entries or their names unknown.
 */
outcome<tables> parseTables(std::string_view routesJson, std::string_view poolsJson);

} // namespace parsleyglade
