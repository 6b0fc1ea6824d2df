#pragma once

/** \file
 * VmList: a small stand-in for the platform's list of VMs, which lags.
 *
 *     PUT    /vms/<vm> {"zone", "address", "state"}     enter or change a VM
 *     DELETE /vms/<vm>                                  take it out
 *     GET    /vms                                       the list as it was `lag_ms` ago
 *     POST   /faults {"down": true, "lag_ms": 2000}
 *
 * It can listen on several ports that share the list. Each can be down by itself, so that one availability
 * zone can be cut off while another is not.
 */

#include "HttpServer.h"

#include <memory>

namespace fescue::standin {

/** A running list of VMs; ends when it is destroyed. */
class VmList {
public:
    /** Ports after the first are free ones. Throws `std::system_error` when it cannot bind. */
    explicit VmList(const HttpServerOptions& options, std::size_t ports = 1);
    ~VmList();
    std::uint16_t port(std::size_t listener = 0) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue::standin
