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
 * Validates one value of a JSON document and collects every failure found.
 *
 * A checker refers to a value and to a list of failures; the checkers of members and elements add to the same list. A read that fails
 * returns an empty value and adds one failure with the value's JSON pointer. Reads of a missing member return an empty value and add no
 * failure, so that a missing key is reported only once, by checkObject(). The document and the list must outlive the checker.
 */
class json_checker
{
public:
    /** Maximum number of failures in one list; bounds the memory and the output for a document with very many errors. */
    static constexpr std::size_t maximumFailures = 100;

    /** Maximum nesting of objects and arrays that parse() accepts. */
    static constexpr std::size_t maximumDepth = 32;

    /** Creates a checker of the root value of the document. */
    json_checker(const nlohmann::json &document, std::vector<failure> &failures);

    /**
     * Parses JSON text. Fails with table_too_large if the text exceeds maximumBytes, with malformed_json on a syntax error or invalid
     * UTF-8, with duplicate_key for each key that an object repeats, and with invalid_value if the nesting exceeds maximumDepth.
     */
    static outcome<nlohmann::json> parse(std::string_view text, std::size_t maximumBytes);

    /**
     * Checks that the value is an object with every required key and no key outside both lists. Adds wrong_type, missing_key and
     * unknown_key. Returns whether the value is an object.
     */
    bool checkObject(std::initializer_list<std::string_view> requiredKeys, std::initializer_list<std::string_view> optionalKeys = {});

    /** Returns whether the value is an object with the key. */
    bool has(std::string_view key) const;

    /** Returns whether the value is an array without elements. */
    bool isEmptyArray() const;

    /** Returns a checker of the object's member, or of a missing value if there is no such member. */
    json_checker member(std::string_view key) const;

    /** Returns checkers of the array's elements. Adds wrong_type, or out_of_range if the number of elements is out of bounds (inclusive). */
    std::vector<json_checker> elements(std::size_t minimum, std::size_t maximum);

    /** Reads a string with a length in bytes within the bounds, without control characters. Adds wrong_type, out_of_range or invalid_value. */
    std::string text(std::size_t minimumBytes, std::size_t maximumBytes);

    /**
     * Reads a name of ASCII letters, digits, '.', '_' and '-' that starts with a letter or digit. Adds wrong_type, out_of_range or
     * invalid_value.
     */
    std::string identifier(std::size_t maximumBytes = 64);

    /** Reads an IPv4 address and port in the form 127.0.0.1:9101, without leading zeros. Adds wrong_type or invalid_value. */
    std::string address();

    /** Reads one of the given strings. Adds wrong_type or invalid_value. */
    std::string oneOf(std::initializer_list<std::string_view> choices);

    /** Reads an integer within the bounds (inclusive). Adds wrong_type or out_of_range. */
    std::int64_t integer(std::int64_t minimum, std::int64_t maximum);

    /** Reads a number within the bounds (inclusive). Adds wrong_type or out_of_range. */
    double number(double minimum, double maximum);

    /** Reads a boolean. Adds wrong_type. */
    bool boolean();

    /** Adds a failure with this value's JSON pointer. */
    void fail(result_code code, std::string reason);

    /** Returns the JSON pointer of the value (RFC 6901); empty for the root value. */
    const std::string &pointer() const;

    /** Returns whether the document contains the value. */
    bool exists() const;

private:
    json_checker(const nlohmann::json *value, std::vector<failure> *failures, std::string pointer);

    /** Returns isExpectedType; adds wrong_type if the value exists but has another type. */
    bool checkType(bool isExpectedType, std::string_view typeName);

    const nlohmann::json *m_value;
    std::vector<failure> *m_failures;
    std::string m_pointer;
};

/** Returns whether the text is an IPv4 address and port in canonical form: four numbers from 0 to 255 and a port from 1 to 65535. */
bool isCanonicalAddress(std::string_view text);

/** Returns the JSON pointer extended by a member name or an index, which is escaped according to RFC 6901. */
std::string appendToPointer(std::string_view pointer, std::string_view token);

} // namespace parsleyglade
