#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace parsleyglade {

/**
 * Selects a candidate for a subject by rendezvous hashing: the one with the highest hash of subject and name, or an empty string without
 * candidates. Processes with the same set of candidates make the same selection, and adding or removing a candidate reassigns only the
 * subjects of that candidate.
 */
std::string selectByRendezvous(std::string_view subject, const std::vector<std::string> &candidates);

} // namespace parsleyglade
