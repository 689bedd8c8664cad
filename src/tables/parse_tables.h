#pragma once

#include "tables/joined_tables.h"

namespace parsleyglade {

/** Largest text of one table, in bytes. */
constexpr std::size_t maximumTableBytes = std::size_t{256} * 1024;

/**
 * Parses and checks both tables in full. Fails with every mistake found, up to json_checker::maximumFailures, each with a JSON pointer
 * into its table ("/routes/..." or "/pools/..."); nothing is taken in part. Mistakes between entries are looked for once each entry is
 * correct by itself.
 */
outcome<tables> parseTables(std::string_view routesJson, std::string_view poolsJson);

} // namespace parsleyglade
