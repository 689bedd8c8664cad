#include "entry/rendezvous.h"

#include "core/digest.h"

#include <utility>

namespace parsleyglade {

std::string selectByRendezvous(std::string_view subject, const std::vector<std::string> &candidates)
{
    std::pair<std::uint64_t, std::string> best;
    for (const std::string &candidate : candidates) {
        const std::pair<std::uint64_t, std::string> weight{hash64(candidate, hash64(subject)), candidate};
        if (best.second.empty() || weight > best) {
            best = weight;
        }
    }
    return best.second;
}

} // namespace parsleyglade
