#include "scheduler/decision_entry.h"

namespace parsleyglade {

std::string toText(const task_id &task)
{
    return task.job + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.' + std::to_string(task.index);
}

const std::string &decision_entry::jobText() const
{
    return job.empty() ? task.job : job;
}

std::string decision_entry::taskText() const
{
    return task.job.empty() ? std::string() : toText(task);
}

std::string decision_entry::inputText() const
{
    std::string result = text;
    for (const input &item : inputs) {
        if (item.key.empty()) {
            continue;
        }
        if (!result.empty()) {
            result += ' ';
        }
        result += item.key;
        result += '=';
        result += item.word.empty() ? std::to_string(item.number) : std::string(item.word);
    }
    return result;
}

} // namespace parsleyglade
