#include "teams/team_account.h"

#include <algorithm>
#include <limits>

namespace parsleyglade {

namespace {

bool isWithin(std::int64_t amount, std::int64_t limit)
{
    return limit == 0 || amount <= limit;
}

} // namespace

bool team_account::hasRoomFor(const resources &demand) const
{
    return isWithin(used.cpuMillicores + demand.cpuMillicores, policy.cap.cpuMillicores)
        && isWithin(used.memoryMegabytes + demand.memoryMegabytes, policy.cap.memoryMegabytes)
        && isWithin(used.accelerators + demand.accelerators, policy.cap.accelerators);
}

std::int64_t team_account::freeMillicores() const
{
    if (policy.cap.cpuMillicores == 0) {
        return std::numeric_limits<std::int64_t>::max();
    }
    return std::max<std::int64_t>(policy.cap.cpuMillicores - used.cpuMillicores, 0);
}

} // namespace parsleyglade
