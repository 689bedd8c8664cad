#include "record.h"

namespace review {

record::record(const std::string &path)
    : m_file(path)
{
}

void record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_file << now() << ' ' << line << std::endl;
}

std::int64_t record::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - m_start).count();
}

} // namespace review
