#pragma once

#include "load_totals.h"
#include "oracle_report.h"

#include <optional>

namespace parsleyglade {

/** The figures of a run as one line of JSON. */
std::string renderJson(const load_totals &totals, const std::optional<oracle_report> &oracle);

/** The figures of a run as text for people. */
std::string renderText(const load_totals &totals, const std::optional<oracle_report> &oracle);

} // namespace parsleyglade
