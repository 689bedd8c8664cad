#include "speculation/copy_choice.h"

namespace parsleyglade {

namespace {

constexpr int minimumGain = 2; // remaining time of the run over the run time of a copy
constexpr std::int64_t capacityPerCopies = 20; // copies use a twentieth of a pool at most, so that callers without copies keep the rest

} // namespace

copy_choice chooseCopy(const copy_inputs &inputs)
{
    if (!inputs.isExecutorSlow) {
        return copy_choice::executor_not_slow;
    }
    if (inputs.remaining <= minimumGain * inputs.expected) {
        return copy_choice::ends_soon;
    }
    if (inputs.isRoomWanted) {
        return copy_choice::room_wanted;
    }
    if ((inputs.copiesMillicores + inputs.demandMillicores) * capacityPerCopies > inputs.capacityMillicores) {
        return copy_choice::share_used_up;
    }
    return copy_choice::copies;
}

} // namespace parsleyglade
