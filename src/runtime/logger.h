#pragma once

#include "core/result_code.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace parsleyglade {

enum class log_level {
    debug,
    info,
    warning,
    error,
};

/** One key=value field of a log line. Values with spaces are quoted. */
struct log_field
{
    template <typename Value>
    log_field(std::string_view fieldKey, const Value &fieldValue)
        : key(fieldKey)
    {
        if constexpr (std::is_same_v<Value, bool>) {
            value = fieldValue ? "true" : "false";
        } else if constexpr (std::is_same_v<Value, result_code>) {
            value = name(fieldValue);
        } else if constexpr (std::is_enum_v<Value>) {
            value = std::to_string(static_cast<long long>(fieldValue));
        } else if constexpr (std::is_arithmetic_v<Value>) {
            value = std::to_string(fieldValue);
        } else {
            value = std::string(fieldValue);
        }
    }

    std::string_view key;
    std::string value;
};

/** Writes the log lines of one part under its fixed prefix, through Boost.Log. Cheap to copy. @see setUpLogging */
class logger
{
public:
    /** @param prefix Name of the part without the colon; must outlive the logger. */
    explicit logger(std::string_view prefix)
        : m_prefix(prefix)
    {
    }

    void debug(std::string_view message, std::initializer_list<log_field> fields = {}) const;
    void info(std::string_view message, std::initializer_list<log_field> fields = {}) const;
    void warning(std::string_view message, std::initializer_list<log_field> fields = {}) const;
    void error(std::string_view message, std::initializer_list<log_field> fields = {}) const;

private:
    std::string_view m_prefix;
};

/** Sends log lines of at least this level to standard error, each with wall time, level and the process's name. */
void setUpLogging(log_level minimum, std::string processName);

/** Sends the same lines to standard output through a bounded_writer, which never blocks. */
void setUpBoundedLogging(log_level minimum, std::string processName);

/** Lines that the bounded log has left out since the start. */
std::uint64_t droppedLogLines();

} // namespace parsleyglade
