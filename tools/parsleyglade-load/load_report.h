#pragma once

#include "load_totals.h"
#include "oracle_report.h"

#include <optional>

namespace parsleyglade {

/** The results of a run as one line of JSON, without a line break at its end. @param oracle Omitted from the output when absent. */
std::string renderJson(const load_totals &totals, const std::optional<oracle_report> &oracle);

/** The results of a run as lines of text. @param oracle Omitted from the output when absent. */
std::string renderText(const load_totals &totals, const std::optional<oracle_report> &oracle);

} // namespace parsleyglade
