#pragma once

/** Umbrella header of the platform module: the append-only log and the host list. */

#include "platform/host_list_client.h"
#include "platform/http_host_list_client.h"
#include "platform/http_log_client.h"
#include "platform/log_client.h"
