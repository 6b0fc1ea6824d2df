#pragma once

/** \file
 * PlatformView: the configuration in force and the list of members, as a scheduler reads them.
 *
 * The configuration comes from the log (ConfigReader.h), the members from the platform's list of VMs, which
 * lags. A longer list is polled less often, so that the bandwidth per VM does not depend on its length.
 *
 *     GET <vms_url>/vms -> {"vms": [{"vm", "zone", "address", "state": "live" | "leaving"}]}
 */

#include "ConfigReader.h"
#include "HttpClient.h"
#include "Members.h"

#include <functional>
#include <memory>

namespace fescue {

/** Endpoints of the platform and polling limits. */
struct PlatformOptions {
    ConfigReaderOptions config_;
    std::string vmsUrl_;
    Milliseconds vmsInterval_ { 1000 }; ///< Minimum time between two reads of the list.
    std::int64_t vmsBytesPerSecond_ = 3000; ///< Limit on the bandwidth of the answers.
};

/** Change callbacks; called on a thread of the `HttpClient`. */
struct PlatformHandlers {
    std::function<void(const Config&)> onConfig_;
    std::function<void(const Members&)> onMembers_;
};

/** Follows the platform until it is destroyed. All functions are thread-safe. */
class PlatformView {
public:
    PlatformView(const PlatformOptions& options, HttpClient& client, PlatformHandlers handlers);
    ~PlatformView();

    void start();
    /** Starts the reads that are due; to be called at regular intervals. */
    void tick();
    /** Applies a configuration received from another VM if it is newer. */
    void offer(const Config& config);
    ConfigPtr config() const;
    LogOffset lastReadOffset() const;
    ConfigStatus status() const;
    Members members() const;
    /** Whether a configuration without a gap is in force, and the members are known or the first read of the
     * list has timed out. */
    bool isReady() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
