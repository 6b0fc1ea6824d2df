#pragma once

/** \file
 * ForwardedCall: a request that an entry VM has admitted and forwards to a target.
 */

#include "CallTags.h"
#include "FrontServer.h"
#include "QueuedCall.h"
#include "ServingConfig.h"

#include <functional>
#include <memory>

namespace fescue {

/** What the target of a relayed request has said of itself in the head of its answer. */
struct RelayedStatement {
    Milliseconds startedAt_ { 0 }; ///< Start of the target that the peer has booked it to.
    bool isLeaving_ = false;
    std::optional<double> rateLimit_; ///< As in `AnswerTags`.
};

/** What became of a relayed request. */
struct RelayOutcome {
    /** The target that sent the answer; empty if the answer is the peer's own refusal. */
    TargetId target_;
    SoftwareVersion version_; ///< Of the target.
    std::uint32_t possibleRuns_ = 0; ///< Sends that may have run; 0 means that it has not run.
    bool isUnavailable_ = false; ///< The peer cannot relay now.
    std::optional<RelayedStatement> statement_ {}; ///< Nothing if the peer does not pass it on.
};

/** An admitted request. */
struct ForwardedCall {
    FrontRequest request_;
    std::shared_ptr<FrontReply> reply_;
    CallTags tags_;
    WorkspaceId workspace_; ///< Empty if the configuration has no workspaces or the route is public.
    CallRank rank_;
    double workspaceWeight_ = 1; ///< Of the workspace's share within its rank.
    bool startsProgram_ = false; ///< The first turn of its program, as far as known.
    Route route_;
    ServiceTraits service_;
    MonotonicTime deadline_; ///< The caller receives the final answer by then.
    /** The software version at which the stream may go on; nothing if the request begins it. */
    std::optional<SoftwareVersion> version_;
    /** Called before the first bytes of a stream are passed on, with the version that made them. Optional. */
    std::function<void(const SoftwareVersion&)> onBegin_;
    /** Called with the data of the events of a successful stream that is complete; its end is passed on once
     * `done` has been called with true, and with false it is broken off. Optional. */
    std::function<void(const std::string& output, std::function<void(bool isKept)> done)> onWhole_;
    std::size_t maxOutputBytes_ = 0; ///< Of the data that `onWhole_` takes.
    /** Set if the call came from another VM, which is told what becomes of it. */
    std::shared_ptr<RelayOutcome> relayOutcome_;
    TargetId cachingTarget_; ///< Target that ran the program's last turn; empty if unknown.
    /** Called once, with the number of tokens that were forwarded and the last target that the request was
     * sent to, if any. */
    std::function<void(TokenCount generated, const TargetId&)> onEnd_;
};

/** The call as the target pool sees it, without an id. Pure. */
QueuedCall toQueuedCall(const ForwardedCall& call);

/** Tokens of the prompt that are specific to the call: shared parts are soon cached by every engine. Pure. */
TokenCount ownPromptTokens(const CallTags& tags);

} // namespace fescue
