#include "jobs/claim_record.h"

#include <algorithm>

namespace parsleyglade {

std::string_view name(claim_state state)
{
    switch (state) {
    case claim_state::open:
        return "open";
    case claim_state::completed:
        return "completed";
    case claim_state::unknown:
        return "unknown";
    case claim_state::released:
        return "released";
    }
    return "";
}

bool claim_record::isVoid(attempt_id candidate) const
{
    return std::find(voidAttempts.begin(), voidAttempts.end(), candidate) != voidAttempts.end();
}

} // namespace parsleyglade
