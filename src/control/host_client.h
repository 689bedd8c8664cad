#pragma once

#include "core/outcome.h"
#include "scheduler/host_description.h"

#include <functional>
#include <vector>

namespace parsleyglade {

/** Client of the platform's host service: lists hosts and sends orders for them. Each callback runs once, on the loop's thread, never before the call
    has returned. */
class host_client
{
public:
    host_client() = default;
    host_client(const host_client &) = delete;
    host_client &operator=(const host_client &) = delete;
    virtual ~host_client() = default;

    /** Fetches the complete list of hosts. Fails with host_list_unavailable when a page of it can't be fetched. */
    virtual void list(std::function<void(const outcome<std::vector<host_description>> &)> done) = 0;

    /** Sends a move or maintenance order once. @param holder name of the entry host that sends the order */
    virtual void order(const host_order &order, const std::string &holder, std::function<void(host_order_result)> done) = 0;
};

} // namespace parsleyglade
