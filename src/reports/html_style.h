#pragma once

#include <string_view>

namespace parsleyglade {

/** The style sheet of the HTML report: light and dark by the reader's preference, light when printed. */
extern const std::string_view htmlStyle;

} // namespace parsleyglade
