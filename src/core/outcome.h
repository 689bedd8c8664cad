#pragma once

#include "core/failure.h"

#include <cassert>
#include <optional>
#include <utility>
#include <vector>

namespace parsleyglade {

/** An optional value that keeps the reasons for its absence. Holds either a value or at least one failure. */
template <typename T> class outcome
{
public:
    outcome(T value) // NOLINT(google-explicit-constructor): a value returns as itself
        : m_value(std::move(value))
    {
    }

    outcome(failure reason) // NOLINT(google-explicit-constructor): a failure returns as itself
        : m_failures{std::move(reason)}
    {
    }

    /** Several failures found in one pass. @pre failures is not empty. */
    outcome(std::vector<failure> failures) // NOLINT(google-explicit-constructor): failures return as themselves
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

    /** The last reason for the absence of a value. @pre !hasValue() */
    const failure &lastReason() const
    {
        assert(!m_failures.empty());
        return m_failures.back();
    }

    /** Every reason, in the order found. Empty when there is a value. */
    const std::vector<failure> &failures() const
    {
        return m_failures;
    }

private:
    std::optional<T> m_value;
    std::vector<failure> m_failures;
};

} // namespace parsleyglade
