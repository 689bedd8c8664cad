#include "external/http_result.h"

#include <algorithm>
#include <cctype>

namespace parsleyglade {

std::string_view http_result::header(std::string_view headerName) const
{
    const auto sameCharacter = [](unsigned char left, unsigned char right) {
        return std::tolower(left) == std::tolower(right);
    };
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto &field) {
        return std::equal(field.first.begin(), field.first.end(), headerName.begin(), headerName.end(), sameCharacter);
    });

    return found == headers.end() ? std::string_view{} : std::string_view{found->second};
}

} // namespace parsleyglade
