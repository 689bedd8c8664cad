#pragma once

#include <string>
#include <vector>

namespace parsleyglade {

/** Hosts that a maintenance wave covers, and who plans it and why. If all three lists are empty, the wave covers every host. */
struct wave_request
{
    std::vector<std::string> pools;
    std::vector<std::string> racks;
    std::vector<std::string> dataCentres;
    std::string author;
    std::string reason;
};

} // namespace parsleyglade
