#pragma once

/** Umbrella header of the transport module: HTTP server, endpoint client, and links and server for peers. */

#include "transport/bearer_token.h"
#include "transport/endpoint_client.h"
#include "transport/http_server.h"
#include "transport/peer_link.h"
#include "transport/peer_server.h"
#include "transport/socket_address.h"
