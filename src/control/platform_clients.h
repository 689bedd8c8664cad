#pragma once

#include "control/executor_client.h"
#include "control/host_client.h"
#include "control/keyed_store.h"
#include "control/record_decoder.h"

namespace parsleyglade {

/** What the control plane needs of the platform. The referenced clients outlive it. */
struct platform_clients
{
    keyed_store &store;
    executor_client &executors;
    host_client &hosts;
    const record_decoder &decoder;
};

} // namespace parsleyglade
