#include "scheduler/queue_configuration.h"

#include <algorithm>

namespace parsleyglade {

const queue_policy *queue_configuration::findQueue(std::string_view queueName) const
{
    const auto found = std::find_if(queues.begin(), queues.end(), [&](const queue_policy &queue) { return queue.name == queueName; });
    return found == queues.end() ? nullptr : &*found;
}

bool queue_configuration::needsKey(const queue_policy &queue) const
{
    return hasTeams && !queue.isPublic;
}

const queue_policy *queue_configuration::match(std::string_view host, std::string_view path) const
{
    const queue_policy *best = nullptr;
    for (const queue_policy &queue : queues) {
        const bool matches = queue.host == host && path.starts_with(queue.pathPrefix);
        if (matches && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

} // namespace parsleyglade
