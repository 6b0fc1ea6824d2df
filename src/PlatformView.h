#pragma once

/** \file
 * PlatformView: the platform as a scheduler sees it: the configuration in force and the members.
 *
 * The configuration is read from the log's stream `config` by long polling; the members come from the VM
 * list, which lags. Neither ever goes back: a configuration older than the one in force is not taken.
 *
 *     GET <vms_url>/vms -> {"vms": [{"vm", "zone", "address", "state": "live" | "leaving"}]}
 */

#include "ConfigFold.h"
#include "HttpClient.h"
#include "LogClient.h"
#include "Members.h"

#include <functional>
#include <memory>

namespace fescue {

/** Where the platform is. */
struct PlatformOptions {
    LogAddress log_;
    std::string vmsUrl_;
    Milliseconds vmsInterval_ { 1000 };
};

/** What to call when something has changed; on a thread of the `HttpClient`. */
struct PlatformHandlers {
    std::function<void(const Config&)> onConfig_;
    std::function<void(const Members&)> onMembers_;
};

/** Follows the platform until it is destroyed. All functions are safe from any thread. */
class PlatformView {
public:
    PlatformView(const PlatformOptions& options, HttpClient& client, PlatformHandlers handlers);
    ~PlatformView();

    void start();
    /** Asks again for what is due; to be called at a steady pace. */
    void tick();
    /** Takes a configuration that another VM holds, if it is newer. */
    void offer(const Config& config);
    Config config() const;
    Members members() const;
    /** Whether a configuration is in force and the members are known, or the list of VMs has kept silent. */
    bool isReady() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
