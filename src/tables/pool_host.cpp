#include "tables/pool_host.h"

namespace parsleyglade {

nlohmann::json toJson(const pool_host &value)
{
    return {{"host", value.host}, {"dataCentre", value.dataCentre}, {"rack", value.rack}, {"address", value.address}};
}

} // namespace parsleyglade
