#include "locality/near_wait.h"

#include <algorithm>

namespace parsleyglade {

duration remoteLoss(const near_wait_inputs &inputs)
{
    return std::chrono::duration_cast<duration>(inputs.runTime * std::max(inputs.remoteFactor - 1.0, 0.0));
}

near_choice chooseNear(const near_wait_inputs &inputs)
{
    if (!inputs.expectedWait) {
        return near_choice::not_expected;
    }
    const duration loss = remoteLoss(inputs);
    const duration bound = std::min(inputs.isRoomWanted ? 2 * loss : loss / 2, maximumNearWait);
    if (inputs.waited + *inputs.expectedWait >= bound) {
        return near_choice::costs_more;
    }
    const bool isLateNear = *inputs.expectedWait > inputs.slack;
    const bool isLateElsewhere = loss > inputs.slack;
    return isLateNear && !isLateElsewhere ? near_choice::would_be_late : near_choice::waits;
}

} // namespace parsleyglade
