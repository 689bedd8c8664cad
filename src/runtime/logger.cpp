#include "runtime/logger.h"

#include "runtime/bounded_writer.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>
#include <iostream>

namespace parsleyglade {

namespace {

namespace boost_log = boost::log;

// Lines of the burst that informational lines leave to notices, warnings and errors.
constexpr double reservedLogLines = 200;

using severity_source = boost_log::sources::severity_logger<log_level>;

severity_source &source()
{
    static severity_source instance;
    return instance;
}

std::string_view levelName(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::notice:
        return "notice";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

void appendValue(std::string &line, const std::string &value)
{
    if (value.find_first_of(" \"=\n") == std::string::npos) {
        line += value;
        return;
    }

    line += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += character == '\n' ? ' ' : character;
    }
    line += '"';
}

/** Log sink that writes formatted lines through a bounded writer. */
class bounded_backend final : public boost_log::sinks::basic_formatted_sink_backend<char, boost_log::sinks::synchronized_feeding>
{
public:
    explicit bounded_backend(int descriptor)
        : m_writer(descriptor, settings())
    {
    }

    void consume(const boost_log::record_view &record, const string_type &line)
    {
        const auto level = boost_log::extract<log_level>("Severity", record);
        const bool isReserved = level && *level >= log_level::notice;
        m_writer.write(line, now(), isReserved ? line_priority::reserved : line_priority::normal);
    }

    bool dropUnformatted()
    {
        return m_writer.dropUnformatted(now());
    }

    std::uint64_t droppedLines() const
    {
        return m_writer.droppedLines();
    }

private:
    static time_point now()
    {
        return time_point{std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch())};
    }

    static bounded_writer_settings settings()
    {
        bounded_writer_settings values;
        values.reservedLines = reservedLogLines;
        return values;
    }

    bounded_writer m_writer;
};

boost::shared_ptr<bounded_backend> &boundedBackend()
{
    static boost::shared_ptr<bounded_backend> instance;
    return instance;
}

log_level &minimumLevel()
{
    static log_level instance = log_level::debug;
    return instance;
}

/** Whether a line of the level would be written now. If only the rate limit prevents that, counts the line as dropped. */
bool accepts(log_level level)
{
    if (level < minimumLevel()) {
        return false;
    }
    const bool isLimited = level <= log_level::info && boundedBackend();
    return !isLimited || !boundedBackend()->dropUnformatted();
}

void write(log_level level, std::string_view prefix, std::string_view message, std::initializer_list<log_field> fields)
{
    // Before the record is opened: that and formatting cost far more than counting, and most lines are dropped just when the process has the least time.
    if (!accepts(level)) {
        return;
    }
    boost_log::record record = source().open_record(boost_log::keywords::severity = level);
    if (!record) {
        return;
    }

    std::string line(prefix);
    line += ": ";
    line += message;
    for (const log_field &field : fields) {
        if (field.value.empty()) {
            continue;
        }
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }

    boost_log::record_ostream stream(record);
    stream << line;
    stream.flush();
    source().push_record(std::move(record));
}

} // namespace

bool logger::acceptsInfo() const
{
    return accepts(log_level::info);
}

void logger::debug(std::string_view message, std::initializer_list<log_field> fields) const
{
    write(log_level::debug, m_prefix, message, fields);
}

void logger::info(std::string_view message, std::initializer_list<log_field> fields) const
{
    write(log_level::info, m_prefix, message, fields);
}

void logger::notice(std::string_view message, std::initializer_list<log_field> fields) const
{
    write(log_level::notice, m_prefix, message, fields);
}

void logger::warning(std::string_view message, std::initializer_list<log_field> fields) const
{
    write(log_level::warning, m_prefix, message, fields);
}

void logger::error(std::string_view message, std::initializer_list<log_field> fields) const
{
    write(log_level::error, m_prefix, message, fields);
}

namespace {

void formatRecord(const std::string &processName, const boost_log::record_view &record, boost_log::formatting_ostream &stream)
{
    const auto timestamp = boost_log::extract<boost::posix_time::ptime>("TimeStamp", record);
    const auto level = boost_log::extract<log_level>("Severity", record);
    if (timestamp) {
        stream << boost::posix_time::to_iso_extended_string(*timestamp) << ' ';
    }
    stream << levelName(level ? *level : log_level::error) << ' ' << processName << ' ' << record[boost_log::expressions::smessage];
}

void setMinimumLevel(log_level minimum)
{
    boost_log::add_common_attributes();
    minimumLevel() = minimum;
}

} // namespace

void setUpLogging(log_level minimum, std::string processName)
{
    const auto sink = boost_log::add_console_log(std::clog, boost_log::keywords::auto_flush = true);
    sink->set_formatter([processName = std::move(processName)](const boost_log::record_view &record, boost_log::formatting_ostream &stream) {
        formatRecord(processName, record, stream);
    });
    setMinimumLevel(minimum);
}

void setUpBoundedLogging(log_level minimum, std::string processName, int descriptor)
{
    boundedBackend() = boost::make_shared<bounded_backend>(descriptor);
    const auto sink = boost::make_shared<boost_log::sinks::synchronous_sink<bounded_backend>>(boundedBackend());
    sink->set_formatter([processName = std::move(processName)](const boost_log::record_view &record, boost_log::formatting_ostream &stream) {
        formatRecord(processName, record, stream);
    });
    boost_log::core::get()->add_sink(sink);
    setMinimumLevel(minimum);
}

std::uint64_t droppedLogLines()
{
    return boundedBackend() ? boundedBackend()->droppedLines() : 0;
}

} // namespace parsleyglade
