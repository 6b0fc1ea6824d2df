#pragma once

/** \file
 * ContentTrials: lets a few requests with a quarantined content run, if it may be innocent.
 *
 * A caller sends a request that crashes its targets again and again, one attempt after another. Content of
 * which several requests ran at once has many callers; it was running wherever targets ended, whatever ended
 * them. Only a complete answer can show that it is innocent, so one VM lets few of its requests run.
 */

#include "Quarantine.h"

#include <map>

namespace fescue {

/** Contents of which several requests ran at once when a target ended. */
struct ContentTrials {
    struct Content {
        std::uint32_t trials_ = 0;
        MonotonicTime nextAt_; ///< Not earlier.
        MonotonicTime seenAt_; ///< When it last ran beside itself at the end of a target.
    };
    std::map<ContentDigest, Content> contents_;
};

/** Records that another request with the content was running when a target ended. Contents beyond a limit are
 * left out. Thread safety of all: none. */
void recordConcurrentRuns(ContentTrials& trials, ContentDigest digest, MonotonicTime now);

/** Whether a request with this quarantined content is to run now; counts it as a trial if so. At most one VM
 * may, of those that have recorded a crash of it. Precondition: the other VMs know the crashes that this one
 * has recorded. */
bool takeTrial(ContentTrials& trials, const Quarantine& quarantine, ContentDigest digest, MonotonicTime now);

/** Gives back a trial that was not sent to a target, so that there may be another one soon. */
void returnTrial(ContentTrials& trials, ContentDigest digest, MonotonicTime now);

/** Forgets contents whose crashes have expired. */
void removeExpired(ContentTrials& trials, Milliseconds crashExpiry, MonotonicTime now);

} // namespace fescue
