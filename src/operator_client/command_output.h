#pragma once

#include <iosfwd>

namespace parsleyglade {

/** Where and how a command writes. The streams must outlive it. */
struct command_output
{
    std::ostream &result; /**< The command's result. */
    std::ostream &messages; /**< Errors in text form, and progress. */
    bool json = false; /**< Results and errors are JSON documents on the result stream. */
    bool isTerminal = false; /**< Whether progress may be redrawn in place. */
};

} // namespace parsleyglade
