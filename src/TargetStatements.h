#pragma once

/** \file
 * TargetStatements: what targets say about themselves in the heads of their answers, with a log line for each
 * change.
 */

#include "CallTags.h"
#include "LeavingTargets.h"
#include "RateLimits.h"

namespace fescue {

/** All that is believed because of answers. Not thread-safe. */
struct TargetStatements {
    LeavingTargets leaving_;
    RateLimits rates_;
};

/** What an answer has changed. */
struct StatementChange {
    bool startsLeaving_ = false;
    bool changesRate_ = false;
};

/** Takes in the head of a target's answer. Not thread-safe. */
StatementChange readStatements(
    TargetStatements& statements, const TargetStart& start, const AnswerTags& tags, MonotonicTime now);

/** Takes in what another VM has heard of a target's rate. Returns whether the known rate changes. Not
 * thread-safe. */
bool readPeerObservation(TargetStatements& statements, const TargetStart& start,
    const RateObservation& observation, MonotonicTime now);

/** Targets about which beliefs have ended. */
struct EndedStatements {
    std::vector<TargetId> leaving_; ///< Not believed to leave any more.
    std::vector<TargetId> rates_; ///< Not known to have a rate any more.
};

/** Ends the beliefs about targets that have started again, or that left the list long ago. Not thread-safe.
 */
EndedStatements endStatements(TargetStatements& statements, const TargetList& list, MonotonicTime now);

} // namespace fescue
