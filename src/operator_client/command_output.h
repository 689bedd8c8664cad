#pragma once

#include <iosfwd>

namespace parsleyglade {

/** Output streams and output format of a command. The streams must outlive this object. */
struct command_output
{
    std::ostream &result; /**< Receives the result of the command. */
    std::ostream &messages; /**< Receives errors (unless json is set) and progress. */
    bool json = false; /**< Write results and errors as JSON documents to the result stream. */
    bool isTerminal = false; /**< Whether messages is a terminal, so that a progress line may be redrawn in place. */
};

} // namespace parsleyglade
