#pragma once

/** \file
 * EntryVm: the process that runs on each entry VM of the platform.
 *
 *     caller --> FrontServer --> route --> earlier turns --> budget --> CallForwarder --> target
 *                                  |             |              |
 *                            StoreFollower  ConversationStore  BudgetStore --> platform's store
 *
 * The process is single-threaded, with one event loop. The state of a request stays on the VM that received
 * it; only the claims on its program's budget and the text of kept turns are shared, through the platform's
 * store.
 */

#include "VmSettings.h"

#include <functional>
#include <memory>
#include <optional>

namespace fescue {

/** Options of one start of the process. */
struct EntryVmOptions {
    VmSettings settings_;
    std::string metricsAddress_; ///< `ip:port`; empty to disable the metrics server.
    std::uint64_t seed_ = 0;
    std::string settingsPath_; ///< Read again after SIGHUP.
};

/** An entry VM. Must be used from one thread. */
class EntryVm {
public:
    /** Binds all addresses; those that others still have are bound while it runs. Throws `std::system_error`
     * when one of them cannot be bound for another reason. */
    explicit EntryVm(EntryVmOptions options);
    ~EntryVm();

    /** Serves until a SIGTERM or SIGINT and the drain that follows it. Delivers signals that were held back.
     * Call once, from the constructing thread. */
    void run();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
