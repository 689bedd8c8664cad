#pragma once

#include "core/time_types.h"

#include <functional>
#include <map>
#include <string>

namespace parsleyglade {

/**
 * Parses a flat JSON object into variables; used for the fault switches of the stand-ins. Add every key first, then call apply(). The variable of
 * an absent key stays unchanged.
 */
class settings_reader
{
public:
    /** Adds a boolean key. @param target Must outlive the reader; this applies to all variables. */
    settings_reader &add(const std::string &key, bool &target);

    /** Adds a key for a non-negative number. */
    settings_reader &add(const std::string &key, double &target);

    /** Adds a key for a probability from 0 to 1; true stands for 1 and false for 0. */
    settings_reader &addProbability(const std::string &key, double &target);

    /** Adds a key for a duration in milliseconds, which may have a fraction. */
    settings_reader &addMilliseconds(const std::string &key, duration &target);

    /** Parses the text and sets the variables. Returns an empty string, or an error message; on error no variable was changed. */
    std::string apply(const std::string &text) const;

private:
    struct entry
    {
        enum class entry_kind {
            boolean,
            number,
            probability,
        };

        entry_kind kind = entry_kind::number;
        std::function<void(double)> set;
    };

    std::map<std::string, entry> m_entries;
};

} // namespace parsleyglade
