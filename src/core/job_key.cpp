#include "core/job_key.h"

#include "core/digest.h"

#include <algorithm>

namespace parsleyglade {

namespace {

constexpr std::size_t textSize = 36;
constexpr std::size_t versionByte = 6;
constexpr std::size_t variantByte = 8;
constexpr std::size_t timeBytes = 6;
constexpr std::uint8_t version = 0x70;
constexpr std::uint8_t variant = 0x80;

constexpr bool isHyphenPosition(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

int hexValue(char character)
{
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    if (character >= 'a' && character <= 'f') {
        return character - 'a' + 10;
    }
    if (character >= 'A' && character <= 'F') {
        return character - 'A' + 10;
    }
    return -1;
}

failure invalidKey(std::string reason)
{
    return {result_code::invalid_key, std::move(reason), {}};
}

} // namespace

outcome<job_key> job_key::parse(std::string_view text)
{
    if (text.size() != textSize) {
        return invalidKey("the key does not have 36 characters");
    }

    std::string bytes;
    int high = -1;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (isHyphenPosition(position)) {
            if (text[position] != '-') {
                return invalidKey("the key has no hyphen at a position where a UUID requires one");
            }
            continue;
        }

        const int digit = hexValue(text[position]);
        if (digit < 0) {
            return invalidKey("the key contains a character that is not hexadecimal");
        }
        if (high < 0) {
            high = digit;
            continue;
        }
        bytes.push_back(static_cast<char>(high * 16 + digit));
        high = -1;
    }

    return fromBytes(bytes);
}

outcome<job_key> job_key::fromBytes(std::string_view bytes)
{
    if (bytes.size() != size) {
        return invalidKey("the key does not have 16 bytes");
    }

    job_key key;
    std::transform(bytes.begin(), bytes.end(), key.m_bytes.begin(), [](char byte) { return static_cast<std::uint8_t>(byte); });

    if ((key.m_bytes[versionByte] & 0xf0) != version || (key.m_bytes[variantByte] & 0xc0) != variant) {
        return invalidKey("the key is not a UUID version 7");
    }

    return key;
}

job_key job_key::generate(wall_time created, std::mt19937_64 &random)
{
    job_key key;
    const std::uint64_t high = random();
    const std::uint64_t low = random();
    for (std::size_t index = 0; index < 8; ++index) {
        key.m_bytes[index] = static_cast<std::uint8_t>(high >> (8 * index));
        key.m_bytes[index + 8] = static_cast<std::uint8_t>(low >> (8 * index));
    }

    const auto milliseconds = static_cast<std::uint64_t>(created.time_since_epoch().count());
    for (std::size_t index = 0; index < timeBytes; ++index) {
        key.m_bytes[index] = static_cast<std::uint8_t>(milliseconds >> (8 * (timeBytes - 1 - index)));
    }

    key.m_bytes[versionByte] = static_cast<std::uint8_t>((key.m_bytes[versionByte] & 0x0f) | version);
    key.m_bytes[variantByte] = static_cast<std::uint8_t>((key.m_bytes[variantByte] & 0x3f) | variant);
    return key;
}

wall_time job_key::created() const
{
    std::int64_t milliseconds = 0;
    for (std::size_t index = 0; index < timeBytes; ++index) {
        milliseconds = milliseconds * 256 + m_bytes[index];
    }

    return wall_time{std::chrono::milliseconds{milliseconds}};
}

std::string job_key::text() const
{
    const std::string digits = toHex(bytes());
    return digits.substr(0, 8) + '-' + digits.substr(8, 4) + '-' + digits.substr(12, 4) + '-' + digits.substr(16, 4) + '-' + digits.substr(20);
}

std::string job_key::bytes() const
{
    return {m_bytes.begin(), m_bytes.end()};
}

std::uint64_t job_key::hash() const
{
    return hash64(bytes());
}

} // namespace parsleyglade
