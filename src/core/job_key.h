#pragma once

#include "core/outcome.h"
#include "core/time_types.h"

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>

namespace parsleyglade {

/** Idempotency key of a job: a UUID version 7 (RFC 9562), which contains its creation time in milliseconds. */
class job_key
{
public:
    static constexpr std::size_t size = 16; /**< In bytes. */

    job_key() = default;

    /** Parses the form of 36 characters. Fails with invalid_key on any other form, version or variant. */
    static outcome<job_key> parse(std::string_view text);

    /** Converts from the form of 16 bytes. Fails with invalid_key on any other size, version or variant. */
    static outcome<job_key> fromBytes(std::string_view bytes);

    /** Generates a key with the given creation time; the other bits are random. */
    static job_key generate(wall_time created, std::mt19937_64 &random);

    /** Returns the creation time that the key contains. */
    wall_time created() const;

    /** Returns the form of 36 characters, in lower case. */
    std::string text() const;

    /** Returns the form of 16 bytes. */
    std::string bytes() const;

    /** Returns an evenly distributed hash that is the same in every process. */
    std::uint64_t hash() const;

    friend auto operator<=>(const job_key &, const job_key &) = default;

private:
    std::array<std::uint8_t, size> m_bytes{};
};

} // namespace parsleyglade

template <> struct std::hash<parsleyglade::job_key>
{
    std::size_t operator()(const parsleyglade::job_key &key) const noexcept
    {
        return key.hash();
    }
};
