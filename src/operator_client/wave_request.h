#pragma once

#include <string>
#include <vector>

namespace parsleyglade {

/** What a maintenance wave covers. Empty lists mean every host. */
struct wave_request
{
    std::vector<std::string> pools;
    std::vector<std::string> racks;
    std::vector<std::string> dataCentres;
    std::string author;
    std::string reason;
};

} // namespace parsleyglade
