#pragma once

#include <functional>
#include <string>
#include <vector>

namespace parsleyglade {

/**
 * A kind of state that can be built in several sizes, and operations on it. The program measures the memory of the state and the processor time of the
 * operations at each size. A new measurement is a source file with a subclass and a measurement_registry::registration.
 */
class measurement
{
public:
    /** An operation that a process performs on the state repeatedly. */
    struct operation
    {
        std::string name;
        std::function<std::size_t()> run; /**< Returns the number of bytes of its output, or 0. */
    };

    virtual ~measurement() = default;

    /** A short name, such as "recorder". */
    virtual std::string name() const = 0;

    /** What the size counts, such as "services". */
    virtual std::string sizeUnit() const = 0;

    /** At least three sizes, in ascending order. */
    virtual std::vector<std::size_t> sizes() const = 0;

    /**
     * Builds the state in the given size; it exists until release(). Small blocks that are freed while building stay in the allocator's cache and count
     * as memory of the state, so containers should be reserved and filled in place.
     */
    virtual void build(std::size_t size) = 0;

    /** Frees the state. */
    virtual void release() = 0;

    /** The operations on the state. Called after build(); valid until release(). */
    virtual std::vector<operation> operations() = 0;
};

} // namespace parsleyglade
