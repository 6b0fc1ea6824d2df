#pragma once

/** \file
 * PlatformView: the platform as a scheduler sees it: the configuration in force and the members.
 *
 * The configuration comes from the log (ConfigReader.h), the members from the platform's list of VMs, which
 * lags. A longer list is asked for less often, so that it costs a VM the same at any size.
 *
 *     GET <vms_url>/vms -> {"vms": [{"vm", "zone", "address", "state": "live" | "leaving"}]}
 */

#include "ConfigReader.h"
#include "HttpClient.h"
#include "Members.h"

#include <functional>
#include <memory>

namespace fescue {

/** Where the platform is. */
struct PlatformOptions {
    ConfigReaderOptions config_;
    std::string vmsUrl_;
    Milliseconds vmsInterval_ { 1000 }; ///< Shortest time between two questions for the list.
    std::int64_t vmsBytesPerSecond_ = 3000; ///< What the answers may cost.
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
    ConfigPtr config() const;
    LogOffset readTo() const;
    ConfigStanding standing() const;
    Members members() const;
    /** Whether a configuration is in force that has no gap, and the members are known or the list of VMs has
     * kept silent. */
    bool isReady() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
