#pragma once

/** Umbrella header of the platform module: the append-only log and the host list, their HTTP clients and their fakes. */

#include "platform/delayed_calls.h"
#include "platform/fake_host_list.h"
#include "platform/fake_host_list_client.h"
#include "platform/fake_log.h"
#include "platform/fake_log_client.h"
#include "platform/host_list_client.h"
#include "platform/host_list_json.h"
#include "platform/http_host_list_client.h"
#include "platform/http_log_client.h"
#include "platform/log_client.h"
