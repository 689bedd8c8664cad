#include "core/digest.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace parsleyglade {

namespace {

using digest_bytes = std::array<unsigned char, EVP_MAX_MD_SIZE>;

const unsigned char *asUnsigned(std::string_view bytes)
{
    return reinterpret_cast<const unsigned char *>(bytes.data());
}

std::string asString(const digest_bytes &bytes, unsigned int size)
{
    return {bytes.begin(), bytes.begin() + size};
}

/** Finalizer of SplitMix64, which makes every output bit depend on every input bit. */
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

std::string sha256(std::string_view bytes)
{
    digest_bytes digest{};
    unsigned int size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return asString(digest, size);
}

std::string hmacSha256(std::string_view key, std::string_view bytes)
{
    digest_bytes digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), asUnsigned(bytes), bytes.size(), digest.data(), &size);
    return asString(digest, size);
}

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text.push_back(digits[value >> 4]);
        text.push_back(digits[value & 0x0f]);
    }
    return text;
}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    constexpr std::uint64_t offsetBasis = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t prime = 0x100000001b3ULL;
    std::uint64_t hash = offsetBasis ^ mix(seed);
    for (const char byte : bytes) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * prime;
    }
    return mix(hash);
}

bool equalSecrets(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace parsleyglade
