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

/** One start of a target. */
struct TargetStart {
    TargetId target_;
    Milliseconds startedAt_ { 0 }; ///< Of its process, from its entry.
};

/** Takes in the head of a target's answer. Not thread-safe. */
StatementChange readStatements(
    TargetStatements& statements, const TargetStart& start, const AnswerTags& tags, MonotonicTime now);

/** Ends the beliefs about targets that have started again, or that left the list long ago. Not thread-safe.
 */
void endStatements(TargetStatements& statements, const TargetList& list, MonotonicTime now);

} // namespace fescue
