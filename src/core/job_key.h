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

/** Idempotency key of a job: a UUID version 7 (RFC 9562), which carries its creation time. */
class job_key
{
public:
    static constexpr std::size_t size = 16;

    job_key() = default;

    /** Reads the 36 character form. Fails with invalid_key on any other form, version or variant. */
    static outcome<job_key> parse(std::string_view text);

    /** Reads the 16 byte form. Fails with invalid_key. */
    static outcome<job_key> fromBytes(std::string_view bytes);

    /** A new key with the given creation time. */
    static job_key generate(wall_time created, std::mt19937_64 &random);

    /** Creation time that the key carries. */
    wall_time created() const;

    /** Lower-case 36 character form. */
    std::string text() const;

    /** 16 byte form. */
    std::string bytes() const;

    /** A hash that spreads keys evenly, equal in every process. */
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
