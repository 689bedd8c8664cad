#pragma once

#include "core/result_code.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace parsleyglade {

/** Severity of a log line, in ascending order. */
enum class log_level {
    debug,
    info,
    notice, /**< A rare or periodic line that the rate limit of the log must not drop. */
    warning,
    error,
};

/** One key=value field of a log line. Values with spaces, quotes, equals signs or line feeds are quoted; empty values are omitted. */
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

/** Writes the log lines of one component through Boost.Log, each with a fixed prefix. Cheap to copy. @see setUpLogging */
class logger
{
public:
    /** @param prefix Name of the component without the colon; must outlive the logger. */
    explicit logger(std::string_view prefix)
        : m_prefix(prefix)
    {
    }

    /**
     * Whether a line of level info would be written now. Asked before a line whose message and fields are costly to compose. If the result is false,
     * the line must be left out: it is already counted as dropped, or is below the minimum level.
     */
    bool acceptsInfo() const;

    void debug(std::string_view message, std::initializer_list<log_field> fields = {}) const;
    void info(std::string_view message, std::initializer_list<log_field> fields = {}) const;
    void notice(std::string_view message, std::initializer_list<log_field> fields = {}) const;
    void warning(std::string_view message, std::initializer_list<log_field> fields = {}) const;
    void error(std::string_view message, std::initializer_list<log_field> fields = {}) const;

private:
    std::string_view m_prefix;
};

/** Writes log lines of at least the minimum level to standard error, each with the wall time, its level and the process's name. */
void setUpLogging(log_level minimum, std::string processName);

/** Writes the same lines to a file descriptor instead, through a bounded_writer, which never blocks. The caller keeps the ownership of the descriptor. */
void setUpBoundedLogging(log_level minimum, std::string processName, int descriptor);

/** Returns the number of lines that the bounded log has dropped so far; 0 without a bounded log. */
std::uint64_t droppedLogLines();

} // namespace parsleyglade
