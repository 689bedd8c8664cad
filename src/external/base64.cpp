#include "external/base64.h"

#include <openssl/evp.h>

namespace parsleyglade {

namespace {

const unsigned char *asUnsigned(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

constexpr std::size_t bytesPerGroup = 3;
constexpr std::size_t charactersPerGroup = 4;

} // namespace

std::string toBase64(std::string_view bytes)
{
    // EVP_EncodeBlock writes a terminating zero after the text.
    std::string text((bytes.size() + bytesPerGroup - 1) / bytesPerGroup * charactersPerGroup + 1, '\0');
    const int written = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), asUnsigned(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(written));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    // EVP_DecodeBlock skips white space and does not check where the padding is, so both are checked here.
    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    const std::string_view digits = text.substr(0, text.size() - padding);
    if (text.size() % charactersPerGroup != 0 || digits.find_first_not_of(alphabet) != std::string_view::npos) {
        return std::nullopt;
    }

    std::string bytes(text.size() / charactersPerGroup * bytesPerGroup, '\0');
    const int written = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), asUnsigned(text), static_cast<int>(text.size()));
    if (written < 0) {
        return std::nullopt;
    }

    bytes.resize(static_cast<std::size_t>(written) - padding);
    return bytes;
}

} // namespace parsleyglade
