#include "external/standin/settings_reader.h"

#include <nlohmann/json.hpp>

namespace parsleyglade {

settings_reader &settings_reader::add(const std::string &key, bool &target)
{
    m_entries[key] = {entry::entry_kind::boolean, [&target](double value) {
                          target = value != 0;
                      }};
    return *this;
}

settings_reader &settings_reader::add(const std::string &key, double &target)
{
    m_entries[key] = {entry::entry_kind::number, [&target](double value) {
                          target = value;
                      }};
    return *this;
}

settings_reader &settings_reader::addProbability(const std::string &key, double &target)
{
    m_entries[key] = {entry::entry_kind::probability, [&target](double value) {
                          target = value;
                      }};
    return *this;
}

settings_reader &settings_reader::addMilliseconds(const std::string &key, duration &target)
{
    m_entries[key] = {entry::entry_kind::number, [&target](double value) {
                          target = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
                      }};
    return *this;
}

std::string settings_reader::apply(const std::string &text) const
{
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return "the body is not a JSON object";
    }

    for (const auto &[key, value] : body.items()) {
        const auto found = m_entries.find(key);
        if (found == m_entries.end()) {
            return "unknown key: " + key;
        }
        const auto kind = found->second.kind;
        const bool hasExpectedType
            = kind == entry::entry_kind::boolean ? value.is_boolean() : value.is_number() || (kind == entry::entry_kind::probability && value.is_boolean());
        if (!hasExpectedType) {
            return "wrong type: " + key;
        }
        if (value.is_number() && (value.get<double>() < 0 || (kind == entry::entry_kind::probability && value.get<double>() > 1))) {
            return "out of range: " + key;
        }
    }

    for (const auto &[key, value] : body.items()) {
        m_entries.at(key).set(value.is_boolean() ? (value.get<bool>() ? 1.0 : 0.0) : value.get<double>());
    }
    return {};
}

} // namespace parsleyglade
