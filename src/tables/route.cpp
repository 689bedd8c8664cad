#include "tables/route.h"

namespace parsleyglade {

nlohmann::json toJson(const route &value)
{
    return {
        {"name", value.name},
        {"method", value.method},
        {"path", value.path},
        {"pool", value.pool},
        {"idempotent", value.idempotent},
        {"urgency", name(value.urgency)},
        {"deadlineMilliseconds", value.deadlineMilliseconds},
        {"declaredRunMilliseconds", value.declaredRunMilliseconds},
        {"maximumBodyBytes", value.maximumBodyBytes},
        {"team", value.team},
        {"cancellable", value.cancellable},
    };
}

} // namespace parsleyglade
