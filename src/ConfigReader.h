#pragma once

/** \file
 * ConfigReader: follows the stream `config` and writes its snapshots.
 *
 *     read --entries--> fold --> onConfig
 *       | gap
 *       v
 *     newest snapshot --covers the gap--> continue reading
 *       | does not cover it: try the previous one; with none left, report the gap and stay unready
 *
 * The configuration in force never goes back: it is only replaced by one that has read further.
 */

#include "ConfigSnapshot.h"
#include "LogClient.h"

#include <functional>
#include <memory>

namespace fescue {

/** Options of a reader. */
struct ConfigReaderOptions {
    LogAddress log_;
    Milliseconds snapshotPeriod_ { 600000 };
    std::uint64_t seed_ = 0; ///< Seed of the random times of snapshot checks.
};

/** State of a reader, for readiness checks and operators. */
struct ConfigStatus {
    bool hasConfig_ = false; ///< A configuration is in force.
    bool hasGap_ = false; ///< Entries expired that no snapshot covers.
    bool isBlocked_ = false; ///< The stream requires rules that this software does not support.
    bool isUpToDate_ = false; ///< The log answered recently, and all of its entries were read.
};

/** A shared configuration; a large one is slow to copy. */
using ConfigPtr = std::shared_ptr<const Config>;

/** Follows the configuration until it is destroyed. Thread-safe. */
class ConfigReader {
public:
    using OnConfig = std::function<void(const Config&)>;

    /** `onConfig` is called on a thread of `client` or on the thread that calls `offer`. */
    ConfigReader(const ConfigReaderOptions& options, HttpClient& client, OnConfig onConfig);
    ~ConfigReader();

    /** Starts the reads and snapshot checks that are due. Call periodically. */
    void tick();
    /** Adopts the configuration of another VM if that one has read further. */
    void offer(const Config& config);
    /** The configuration in force; never null, and immutable. */
    ConfigPtr config() const;
    LogOffset lastReadOffset() const;
    ConfigStatus status() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
