#pragma once

/** Umbrella header of the external module: interfaces of the append-only log and the host list, their HTTP clients and their in-memory fakes. */

#include "external/delayed_calls.h"
#include "external/fake_host_list.h"
#include "external/fake_host_list_client.h"
#include "external/fake_log.h"
#include "external/fake_log_client.h"
#include "external/host_list_client.h"
#include "external/host_list_json.h"
#include "external/http_host_list_client.h"
#include "external/http_log_client.h"
#include "external/log_client.h"
