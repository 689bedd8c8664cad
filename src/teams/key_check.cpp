#include "teams/key_check.h"

namespace parsleyglade {

key_verdict checkKey(bool isKnown, const key_check_state &state)
{
    if (isKnown) {
        const bool isTooOld = state.revocationBound && state.configurationAge >= *state.revocationBound;
        return isTooOld ? key_verdict::revocation_unknown : key_verdict::accepted;
    }
    if (state.isLeaderNewer) {
        return key_verdict::outdated;
    }
    return state.configurationAge < state.configurationBound ? key_verdict::rejected : key_verdict::unverified;
}

} // namespace parsleyglade
