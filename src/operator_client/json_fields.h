#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyglade {

/** A string member of an answer; "-" when it is missing or of another type. Control characters become '?', so a terminal is safe. */
std::string textField(const nlohmann::json &object, std::string_view key);

/** A whole number member of an answer; 0 when it is missing or of another type. */
std::int64_t integerField(const nlohmann::json &object, std::string_view key);

/** A number member of an answer; 0 when it is missing or of another type. */
double numberField(const nlohmann::json &object, std::string_view key);

/** A truth value of an answer; false when it is missing or of another type. */
bool booleanField(const nlohmann::json &object, std::string_view key);

/** An array member of an answer; an empty array when it is missing or of another type. */
const nlohmann::json &arrayField(const nlohmann::json &object, std::string_view key);

/** An object member of an answer; an empty object when it is missing or of another type. */
const nlohmann::json &objectField(const nlohmann::json &object, std::string_view key);

/** The text with '?' for each control character. */
std::string printable(std::string text);

} // namespace parsleyglade
