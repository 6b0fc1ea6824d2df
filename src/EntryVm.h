#pragma once

/** \file
 * EntryVm: the process that stands on an entry VM of the platform.
 *
 *     caller --> FrontServer --> route --> budget --> CallForwarder --> target
 *                                  |         |
 *                            StoreFollower  BudgetStore --> platform's store
 *
 * One thread runs one event loop; nothing of a request leaves the VM that took it, except the claims on its
 * program's budget.
 */

#include "VmSettings.h"

#include <functional>
#include <memory>
#include <optional>

namespace fescue {

/** What differs from start to start. */
struct EntryVmOptions {
    VmSettings settings_;
    std::string metricsAddress_; ///< `ip:port`; empty for none.
    std::uint64_t seed_ = 0;
    /** Reads the settings again after SIGHUP; logs what is wrong and returns nothing then. */
    std::function<std::optional<VmSettings>()> reload_;
};

/** An entry VM. */
class EntryVm {
public:
    /** Binds all addresses. Throws `std::system_error` when one cannot be bound. */
    explicit EntryVm(EntryVmOptions options);
    ~EntryVm();

    /** Serves until SIGTERM or SIGINT and a drain after it. Call once, from the thread that made it. */
    void run();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
