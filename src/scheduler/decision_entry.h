#pragma once

#include "scheduler/task_id.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyglade {

/** A decision to be logged, with its subject and the inputs that led to it. Its text is composed only on request, because most lines of a busy leader are
    counted and not written. */
struct decision_entry
{
    /** An input that is a number, or one of a fixed set of words. */
    struct input
    {
        std::string_view key;
        std::int64_t number = 0;
        std::string_view word{}; /**< Replaces the number unless empty. Refers to a constant. */
    };

    using input_list = std::array<input, 3>; /**< Entries without a key are not used. */

    std::string_view decision; /**< Its name, a constant. */
    std::string job; /**< Empty if the decision is not about a job. */
    task_id task; /**< Without a job if the decision is not about a single task. */
    std::string executor; /**< Empty if no executor is concerned. */
    std::string host; /**< Empty if the decision is not about a host. */
    std::string text; /**< Inputs that were composed when the decision was made, as key=value pairs. */
    input_list inputs{};

    /** Returns the name of the job, or nothing. */
    const std::string &jobText() const;

    /** Returns the task as in toText(), or nothing. */
    std::string taskText() const;

    /** Returns all inputs as key=value pairs. */
    std::string inputText() const;
};

/** Formats a task as JOB.OCCURRENCE.STEP.INDEX for logs. */
std::string toText(const task_id &task);

} // namespace parsleyglade
