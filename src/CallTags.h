#pragma once

/** \file
 * CallTags: metadata of a request and of its answer that is carried in headers.
 */

#include "Types.h"

#include <optional>
#include <string>
#include <vector>

namespace fescue {

/** The caller's id for one attempt of a request. */
using AttemptId = Identifier<struct AttemptTag>;
/** A sequence of turns within a program: the program's own, or that of a sub-agent. */
using SessionId = Identifier<struct SessionTag>;

/** A part of a prompt that other requests may share; engines cache prompts by such parts. */
struct PromptPart {
    std::string id_;
    TokenCount tokens_;
};

/** Metadata of a request. */
struct CallTags {
    AttemptId attempt_;
    /** The attempt that brought the first event of the stream that this request resumes; empty if the caller
     * does not state it. */
    AttemptId resumes_;
    AttemptId previousTurn_; ///< The turn that this one continues from; empty at the start of a conversation.
    std::string lastEvent_; ///< Id of the last event that the caller holds; empty if it resumes no stream.
    std::optional<Milliseconds> deadline_; ///< How long the caller waits, counted from arrival.
    ProgramId program_;
    SessionId session_;
    std::string affinityKey_; ///< Names the object that the request concerns; empty if none is named.
    std::optional<Milliseconds> programDeadline_; ///< Time within which the whole program should finish.
    std::optional<TokenCount> programBudget_; ///< Maximum number of tokens that the program's turns generate.
    TokenCount promptTokens_;
    TokenCount maxTokens_; ///< Maximum number of tokens that this request generates.
    std::vector<PromptPart> prompt_; ///< The last part is specific to this request or its session.
};

/** Metadata in the head of a target's answer. */
struct AnswerTags {
    AttemptId attempt_; ///< The attempt that is answered; empty when the target does not state it.
    std::string instance_; ///< The target's id; empty when the target does not state it.
    bool isStamped_ = false; ///< The answer comes from the target's application, not from an intermediary.
    bool wasNotRun_ = false; ///< The target states that it did not run the request.
    bool isLeaving_ = false; ///< The target states that it is about to end.
    /** Requests a second that the target takes from all VMs together; nothing if it names no limit. */
    std::optional<double> rateLimit_;
    bool isEncoded_ = false; ///< The body has a content encoding that callers did not ask for.
    struct Load {
        std::uint32_t running_ = 0;
        std::uint32_t waiting_ = 0;
        std::uint32_t slots_ = 0;
        /** How long work takes on the target's machine at this moment, relative to its usual time. */
        std::optional<double> timeFactor_;
    };
    std::optional<Load> load_;
};

} // namespace fescue
