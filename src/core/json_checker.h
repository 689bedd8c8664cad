#pragma once

#include "core/outcome.h"
#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyglade {

/**
 * Checks one value of a JSON document against expectations and collects every failure found.
 *
 * A checker refers to a value and to a list of failures; the checkers of members and elements add to the same list. A read that fails
 * returns an empty value and adds one failure with the value's JSON pointer. The checker of a missing member reads as empty without
 * further failures, so one missing key is reported once. The document and the list must outlive the checker.
 */
class json_checker
{
public:
    /** Most failures that are collected in one list; a hopeless document must not fill memory or the screen. */
    static constexpr std::size_t maximumFailures = 100;

    /** Deepest nesting of objects and arrays that parse() takes. */
    static constexpr std::size_t maximumDepth = 32;

    /** Checker of the whole document. */
    json_checker(const nlohmann::json &document, std::vector<failure> &failures);

    /**
     * Parses JSON text. Fails with table_too_large over the size limit in bytes, with malformed_json on a syntax error or invalid UTF-8,
     * with duplicate_key for each key that an object repeats and with invalid_value for nesting over maximumDepth.
     */
    static outcome<nlohmann::json> parse(std::string_view text, std::size_t maximumBytes);

    /**
     * Checks that the value is an object with every required key and no key outside both lists. Adds wrong_type, missing_key and
     * unknown_key. Returns whether the value is an object.
     */
    bool checkObject(std::initializer_list<std::string_view> requiredKeys, std::initializer_list<std::string_view> optionalKeys = {});

    /** Whether the value is an object with the key. */
    bool has(std::string_view key) const;

    /** Whether the value is an array without elements. */
    bool isEmptyArray() const;

    /** Checker of an object's member; of a missing value when there is none. */
    json_checker member(std::string_view key) const;

    /** Checkers of an array's elements. Adds wrong_type, or out_of_range for a number of elements outside the limits. */
    std::vector<json_checker> elements(std::size_t minimum, std::size_t maximum);

    /** A string of a length in bytes within the limits, without control characters. Adds wrong_type, out_of_range, invalid_value. */
    std::string text(std::size_t minimumBytes, std::size_t maximumBytes);

    /** A name of letters, digits, '.', '_' and '-' that starts with a letter or digit. Adds wrong_type, out_of_range, invalid_value. */
    std::string identifier(std::size_t maximumBytes = 64);

    /** An IPv4 address and port in the form 127.0.0.1:9101, without leading zeros. Adds wrong_type, invalid_value. */
    std::string address();

    /** One of the given strings. Adds wrong_type, invalid_value. */
    std::string oneOf(std::initializer_list<std::string_view> choices);

    /** A whole number within the limits, both included. Adds wrong_type, out_of_range. */
    std::int64_t integer(std::int64_t minimum, std::int64_t maximum);

    /** A number within the limits, both included. Adds wrong_type, out_of_range. */
    double number(double minimum, double maximum);

    /** A truth value. Adds wrong_type. */
    bool boolean();

    /** Adds a failure at this value. */
    void fail(result_code code, std::string reason);

    /** JSON pointer of the value (RFC 6901); empty for the whole document. */
    const std::string &pointer() const;

    /** Whether the value is in the document. */
    bool exists() const;

private:
    json_checker(const nlohmann::json *value, std::vector<failure> *failures, std::string pointer);

    /** Whether the value is there and of the type; adds wrong_type when it is there with another type. */
    bool checkType(bool isExpectedType, std::string_view typeName);

    const nlohmann::json *m_value;
    std::vector<failure> *m_failures;
    std::string m_pointer;
};

/** Whether the text is an IPv4 address and port in canonical form: four numbers to 255 and a port from 1 to 65535. */
bool isCanonicalAddress(std::string_view text);

/** One member or index appended to a JSON pointer, escaped as RFC 6901 says. */
std::string appendToPointer(std::string_view pointer, std::string_view token);

} // namespace parsleyglade
