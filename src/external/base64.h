#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace parsleyglade {

/** Encodes bytes as Base64 with padding and without line breaks (RFC 4648, section 4). */
std::string toBase64(std::string_view bytes);

/** Decodes padded Base64 text. Returns nothing when the text is malformed. */
std::optional<std::string> fromBase64(std::string_view text);

} // namespace parsleyglade
