#include "operator_client/json_fields.h"

#include <algorithm>

namespace parsleyglade {

namespace {

const nlohmann::json *find(const nlohmann::json &object, std::string_view key)
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.find(key);
    return found != object.end() ? &*found : nullptr;
}

} // namespace

std::string textField(const nlohmann::json &object, std::string_view key)
{
    const nlohmann::json *value = find(object, key);
    return value != nullptr && value->is_string() ? printable(value->get<std::string>()) : "-";
}

std::int64_t integerField(const nlohmann::json &object, std::string_view key)
{
    const nlohmann::json *value = find(object, key);
    return value != nullptr && value->is_number_integer() ? value->get<std::int64_t>() : 0;
}

double numberField(const nlohmann::json &object, std::string_view key)
{
    const nlohmann::json *value = find(object, key);
    return value != nullptr && value->is_number() ? value->get<double>() : 0.0;
}

bool booleanField(const nlohmann::json &object, std::string_view key)
{
    const nlohmann::json *value = find(object, key);
    return value != nullptr && value->is_boolean() && value->get<bool>();
}

const nlohmann::json &arrayField(const nlohmann::json &object, std::string_view key)
{
    static const nlohmann::json empty = nlohmann::json::array();
    const nlohmann::json *value = find(object, key);
    return value != nullptr && value->is_array() ? *value : empty;
}

const nlohmann::json &objectField(const nlohmann::json &object, std::string_view key)
{
    static const nlohmann::json empty = nlohmann::json::object();
    const nlohmann::json *value = find(object, key);
    return value != nullptr && value->is_object() ? *value : empty;
}

std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](char character) { return static_cast<unsigned char>(character) < 0x20 || character == 0x7f; }, '?');
    return text;
}

} // namespace parsleyglade
