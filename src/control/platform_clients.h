#pragma once

#include "control/executor_client.h"
#include "control/host_client.h"
#include "control/keyed_store.h"
#include "control/record_decoder.h"

namespace parsleyglade {

/** The clients through which the control plane uses the platform. The referenced objects must outlive the control plane. */
struct platform_clients
{
    keyed_store &store;
    executor_client &executors;
    host_client &hosts;
    const record_decoder &decoder;
};

} // namespace parsleyglade
