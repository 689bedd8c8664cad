#pragma once

#include "core/time_types.h"

#include <functional>
#include <map>
#include <string>

namespace parsleyglade {

/** Reads a flat JSON object into variables, for the fault switches of the stand-ins. Keys that are absent leave their variable unchanged. */
class settings_reader
{
public:
    /** A boolean. @param target Must outlive the reader, as for all of these. */
    settings_reader &add(const std::string &key, bool &target);

    /** A number that is not negative. */
    settings_reader &add(const std::string &key, double &target);

    /** A share from 0 to 1; true stands for 1 and false for 0. */
    settings_reader &addProbability(const std::string &key, double &target);

    /** A duration in milliseconds, which may have a fraction. */
    settings_reader &addMilliseconds(const std::string &key, duration &target);

    /** Applies the text. Returns an empty string, or what is wrong; then nothing was changed. */
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
