#pragma once

/** \file
 * VmList: a small stand-in for the platform's list of VMs, which lags.
 *
 *     PUT    /vms/<vm> {"zone", "address", "state"}     enter or change a VM
 *     DELETE /vms/<vm>                                  take it out
 *     GET    /vms                                       the list as it was `lag_ms` ago
 *     POST   /faults {"down": true, "lag_ms": 2000}
 */

#include "HttpServer.h"

#include <memory>

namespace fescue::standin {

/** A running list of VMs; ends when it is destroyed. */
class VmList {
public:
    explicit VmList(const HttpServerOptions& options);
    ~VmList();
    std::uint16_t port() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue::standin
