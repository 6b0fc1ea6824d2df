#pragma once

/** \file
 * Transfer: a request that is queued for, or in flight at, a target, and its log lines.
 */

#include "AnswerRelay.h"
#include "ForwardedCall.h"
#include "OutboundPool.h"

#include <memory>
#include <set>

namespace fescue {

/** A request on its way. */
struct Transfer {
    ForwardedCall call_;
    ContentDigest digest_;
    DispatchId id_; ///< In the pool; a new id for each send.
    TargetId target_;
    SoftwareVersion version_; ///< Of `target_`.
    Milliseconds targetStartedAt_ { 0 };
    asio::ip::tcp::endpoint address_; ///< Of `target_` at the time of the send.
    std::shared_ptr<OutboundCall> exchange_;
    std::set<TargetId> avoid_;
    std::uint32_t sends_ = 0;
    std::uint32_t possibleRuns_ = 0; ///< Sends that may have run.
    AnswerRelay relay_;
    OutboundResult::ConnectionEnd connectionEnd_ = OutboundResult::ConnectionEnd::Open; ///< Of the last send.
    MonotonicTime sentAt_;
    MonotonicTime connectionOpenAt_; ///< When the connection to the target was last known to be open.
    std::uint32_t linkFailures_ = 0; ///< Targets that could not be reached.
    std::set<VmId> relaysTried_;
    VmId relayPeer_; ///< The VM through which the request is in flight; empty if it was sent directly.
    std::optional<RelayOutcome> relayOutcome_; ///< What that VM has answered.
    bool isQueued_ = false;
    bool isOnTrial_ = false; ///< Its first run is allowed although its content is quarantined.
    bool isRefusal_ = false; ///< The target states that it has not run the request.
    MonotonicTime refusedAt_; ///< When the head of the refusal came.
    std::size_t refusalBytes_ = 0; ///< Of its body, so far.
    bool isPaused_ = false;
    bool isFinished_ = false;
    bool needsNewConnection_ = false;
};

/** Name of a connection's end for logs. Pure. */
const char* nameOf(OutboundResult::ConnectionEnd end);

/** Tokens that were passed on to the caller. Pure. */
TokenCount generatedTokens(const Transfer& transfer);

/** Logs that a request is sent; `load` describes the target, `listAge` is the age of the list that names it.
 */
void logSend(const Transfer& transfer, const std::string& load, Milliseconds listAge);

/** Logs that a request is given to another VM. */
void logRelay(const Transfer& transfer, const char* reason);

/** Logs the final outcome of a request. */
void logFinish(
    const Transfer& transfer, const char* outcome, int status, const std::string& reason, MonotonicTime now);

} // namespace fescue
