#pragma once

/** \file
 * ConfigReader: follows the stream `config` and keeps its snapshots alive.
 *
 *     read on --entries--> fold --> onConfig
 *        |gap
 *        v
 *     newest snapshot --reaches the gap's end--> fold on
 *        |does not: the one before it; none left: not ready, and said so
 *
 * What is in force never goes back: a configuration is only replaced by one of a longer prefix.
 */

#include "ConfigSnapshot.h"
#include "LogClient.h"

#include <functional>
#include <memory>

namespace fescue {

/** What a reader needs. */
struct ConfigReaderOptions {
    LogAddress log_;
    Milliseconds snapshotPeriod_ { 600000 };
    std::uint64_t seed_ = 0; ///< Of the times at which this VM looks whether a snapshot is due.
};

/** How a reader stands, for readiness and operators. */
struct ConfigStatus {
    bool hasConfig_ = false; ///< Some configuration is.
    bool hasGap_ = false; ///< Entries aged out that no snapshot covers.
    bool isBlocked_ = false; ///< The stream goes on under rules that this software does not know.
    bool isUpToDate_ = false; ///< The log has answered lately.
};

/** A configuration that many requests share, since a large one is slow to copy. */
using ConfigPtr = std::shared_ptr<const Config>;

/** Follows the configuration until it is destroyed. All functions are safe from any thread. */
class ConfigReader {
public:
    using OnConfig = std::function<void(const Config&)>;

    /** `onConfig` is called on a thread of the client or of whoever calls `offer`. */
    ConfigReader(const ConfigReaderOptions& options, HttpClient& client, OnConfig onConfig);
    ~ConfigReader();

    /** Asks again for what is due; to be called at a steady pace. */
    void tick();
    /** Takes a configuration that another VM holds, if it is of a longer prefix. */
    void offer(const Config& config);
    /** The configuration in force; never null, and not changed any more. */
    ConfigPtr config() const;
    LogOffset readTo() const;
    ConfigStatus status() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
