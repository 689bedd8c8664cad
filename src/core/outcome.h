#pragma once

#include "core/failure.h"

#include <cassert>
#include <optional>
#include <utility>
#include <vector>

namespace parsleyglade {

/** Result of an operation that may fail: either a value, or at least one failure that explains why there is none. */
template <typename T> class outcome
{
public:
    outcome(T value) // NOLINT(google-explicit-constructor): allows returning a value directly
        : m_value(std::move(value))
    {
    }

    outcome(failure reason) // NOLINT(google-explicit-constructor): allows returning a failure directly
        : m_failures{std::move(reason)}
    {
    }

    /** Stores several failures that were found in one pass. @pre failures is not empty */
    outcome(std::vector<failure> failures) // NOLINT(google-explicit-constructor): allows returning the failures directly
        : m_failures(std::move(failures))
    {
        assert(!m_failures.empty());
    }

    bool hasValue() const
    {
        return m_value.has_value();
    }

    explicit operator bool() const
    {
        return hasValue();
    }

    /** The value. @pre hasValue() */
    const T &value() const
    {
        assert(hasValue());
        return *m_value;
    }

    /** The value. @pre hasValue() */
    T &value()
    {
        assert(hasValue());
        return *m_value;
    }

    const T &operator*() const
    {
        return value();
    }

    T &operator*()
    {
        return value();
    }

    const T *operator->() const
    {
        return &value();
    }

    T *operator->()
    {
        return &value();
    }

    /** Returns the last failure. @pre !hasValue() */
    const failure &lastReason() const
    {
        assert(!m_failures.empty());
        return m_failures.back();
    }

    /** Returns all failures, in the order found. Empty if there is a value. */
    const std::vector<failure> &failures() const
    {
        return m_failures;
    }

private:
    std::optional<T> m_value;
    std::vector<failure> m_failures;
};

} // namespace parsleyglade
