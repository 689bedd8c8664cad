#include "records/fleet_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleyglade {

bool isPlainFleetText(const std::string &text)
{
    const bool hasPlainCharacters = std::none_of(
        text.begin(), text.end(), [](char character) { return static_cast<unsigned char>(character) < 0x20 || character == '"' || character == '\\'; });
    return hasPlainCharacters && nlohmann::json::accept('"' + text + '"');
}

bool isFleetName(const std::string &text)
{
    return !text.empty() && text.size() <= maximumFleetNameBytes && isPlainFleetText(text);
}

} // namespace parsleyglade
