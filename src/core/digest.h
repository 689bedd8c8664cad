#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyglade {

/** SHA-256 of the bytes, 32 bytes long. */
std::string sha256(std::string_view bytes);

/** HMAC-SHA256 of the bytes under a key, 32 bytes long. */
std::string hmacSha256(std::string_view key, std::string_view bytes);

/** Lower-case hexadecimal form. */
std::string toHex(std::string_view bytes);

/** A 64 bit hash that is equal in every process and spreads well. Not for secrets. */
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/** Compares two secrets in time that does not depend on where they differ. */
bool equalSecrets(std::string_view left, std::string_view right);

} // namespace parsleyglade
