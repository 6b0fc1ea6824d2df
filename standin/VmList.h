#pragma once

/** \file
 * VmList: a minimal fake of the platform's list of VMs, which is served with a lag.
 *
 *     PUT    /vms/<vm> {"zone", "address", "state"}     add or update a VM
 *     DELETE /vms/<vm>                                  remove it
 *     GET    /vms                                       the list as it was `lag_ms` ago
 *     POST   /faults {"down": true, "lag_ms": 2000}
 *
 * It can listen on several ports that share the list. Each port can be down independently, so that a test can
 * partition a single availability zone from the list.
 */

#include "HttpServer.h"

#include <memory>

namespace fescue::standin {

/** A running list of VMs; the destructor stops it. */
class VmList {
public:
    /** Ports after the first are ephemeral. Throws `std::system_error` when it cannot bind. */
    explicit VmList(const HttpServerOptions& options, std::size_t ports = 1);
    ~VmList();
    std::uint16_t port(std::size_t listener = 0) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue::standin
