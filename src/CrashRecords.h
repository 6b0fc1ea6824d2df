#pragma once

/** \file
 * CrashRecords: the records by which entry VMs tell each other which requests were running when targets
 * crashed.
 *
 * One record for each digest and each process that has recorded crashes for it, in the topic of the entry
 * VMs. A record outlives its process, so a VM that starts later knows the crashes, too.
 */

#include "Quarantine.h"

#include <optional>
#include <string>

namespace fescue {

/** A record of the store, decoded. */
struct StoredCrashes {
    ContentDigest digest_;
    WriterId writer_; ///< The process that recorded the crashes.
    std::set<CrashId> crashes_; ///< Empty if the record was deleted.
    Milliseconds recordedAt_ { 0 }; ///< Time of day of the writer, since the Unix epoch.
};

/** Whether a key of the topic belongs to such a record. Pure, like all functions here. */
bool isCrashRecord(const std::string& key);

std::string crashRecordKey(ContentDigest digest, const WriterId& writer);
std::string crashRecordValue(const std::set<CrashId>& crashes, Milliseconds recordedAt);

/** Parses a record; returns nothing if it is malformed. */
std::optional<StoredCrashes> parseCrashRecord(const std::string& key, const std::string& value);

} // namespace fescue
