#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace parsleyglade {

/** The candidate with the highest hash of subject and name (rendezvous hashing); empty without candidates. Every process with
    the same candidates selects the same, and a candidate that comes or goes changes only its own subjects. */
std::string selectByRendezvous(std::string_view subject, const std::vector<std::string> &candidates);

} // namespace parsleyglade
