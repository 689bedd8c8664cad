#pragma once

#include <functional>
#include <string>
#include <vector>

namespace parsleyglade {

/** State of a growing size, and operations on it, whose costs are measured. A new one needs a file with a registration line. */
class measurement
{
public:
    /** Something that a process does with the state, again and again. */
    struct operation
    {
        std::string name;
        std::function<std::size_t()> run; /**< Returns the bytes that it produced, or 0. */
    };

    virtual ~measurement() = default;

    /** A short name, such as "recorder". */
    virtual std::string name() const = 0;

    /** What the size counts, such as "services". */
    virtual std::string sizeUnit() const = 0;

    /** Three sizes or more, ascending. */
    virtual std::vector<std::size_t> sizes() const = 0;

    /**
     * Builds the state of a size and keeps it until release(). Small blocks that it frees again stay in the allocator's cache and count
     * as memory of the state, so containers should be reserved and filled in place.
     */
    virtual void build(std::size_t size) = 0;

    /** Frees the state. */
    virtual void release() = 0;

    /** The operations on the state. Valid until release(). */
    virtual std::vector<operation> operations() = 0;
};

} // namespace parsleyglade
