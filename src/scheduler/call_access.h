#pragma once

#include <string>

namespace parsleyglade {

/** Whether the leader carries out a call, judged by the key that came with it. */
struct call_access
{
    enum class access_status {
        granted,
        not_authenticated, /**< The queue needs a key, and the configuration has none like the given one. */
        other_team, /**< The job belongs to another team, which the caller must not learn. */
    };

    access_status status = access_status::granted;
    std::string team; /**< Whose key it is; empty without one. */
};

} // namespace parsleyglade
