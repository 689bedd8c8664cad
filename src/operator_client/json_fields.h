#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyglade {

/**
 * Returns a string member, or "-" if it is missing or of another type. Control characters are replaced by '?', so that a response can't send
 * escape sequences to the terminal.
 */
std::string textField(const nlohmann::json &object, std::string_view key);

/** Returns an integer member, or 0 if it is missing or of another type. */
std::int64_t integerField(const nlohmann::json &object, std::string_view key);

/** Returns a number member, or 0 if it is missing or of another type. */
double numberField(const nlohmann::json &object, std::string_view key);

/** Returns a boolean member, or false if it is missing or of another type. */
bool booleanField(const nlohmann::json &object, std::string_view key);

/** Returns an array member, or an empty array if it is missing or of another type. The reference is valid as long as the object. */
const nlohmann::json &arrayField(const nlohmann::json &object, std::string_view key);

/** Returns an object member, or an empty object if it is missing or of another type. The reference is valid as long as the object. */
const nlohmann::json &objectField(const nlohmann::json &object, std::string_view key);

/** Returns the text with each control character replaced by '?'. */
std::string printable(std::string text);

} // namespace parsleyglade
