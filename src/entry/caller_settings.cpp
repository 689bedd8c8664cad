#include "entry/caller_settings.h"

#include "core/digest.h"

namespace parsleyglade {

caller_id caller_settings::id() const
{
    return caller_id{static_cast<std::int64_t>(hash64(name))};
}

} // namespace parsleyglade
