#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyglade {

/** Returns the SHA-256 digest of the bytes as 32 raw bytes. */
std::string sha256(std::string_view bytes);

/** Returns the HMAC-SHA256 of the bytes with the key, as 32 raw bytes. */
std::string hmacSha256(std::string_view key, std::string_view bytes);

/** Returns the bytes in lower-case hexadecimal, two characters per byte. */
std::string toHex(std::string_view bytes);

/** Returns a 64-bit hash (FNV-1a with a finalizer) that is the same in every process and evenly distributed. Not cryptographic. */
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/** Compares two secrets. For secrets of equal length, the time does not depend on the position of a difference. */
bool equalSecrets(std::string_view left, std::string_view right);

} // namespace parsleyglade
