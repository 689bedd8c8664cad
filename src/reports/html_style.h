#pragma once

#include <string_view>

namespace parsleyglade {

/** CSS style sheet of the HTML report. Follows the browser's preference for a light or dark colour scheme; light when printed. */
extern const std::string_view htmlStyle;

} // namespace parsleyglade
