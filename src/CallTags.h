#pragma once

/** \file
 * CallTags: what a caller says about a request besides its method, path and body.
 */

#include "Types.h"

#include <optional>
#include <string>
#include <vector>

namespace fescue {

/** A caller's own id of one attempt at a request. */
using AttemptId = Identifier<struct AttemptTag>;
/** One line of turns of a program: the program's own, or that of a sub-agent. */
using SessionId = Identifier<struct SessionTag>;

/** A part of a prompt that other requests may share; engines cache prompts by such parts. */
struct PromptPart {
    std::string id_;
    TokenCount tokens_;
};

/** Tags of one request. */
struct CallTags {
    AttemptId attempt_;
    std::optional<Milliseconds> deadline_; ///< How long the caller waits, from now on.
    ProgramId program_;
    SessionId session_;
    std::optional<Milliseconds> programDeadline_; ///< Time in which the whole program should be done.
    std::optional<TokenCount> programBudget_; ///< Tokens that all turns of the program may generate.
    TokenCount promptTokens_;
    TokenCount maxTokens_; ///< Most tokens that this request generates.
    std::vector<PromptPart> prompt_; ///< Its last part belongs to this request or its session.
};

/** What a target says about itself and a request in the head of its answer. */
struct AnswerTags {
    AttemptId attempt_; ///< The request that it answers; empty when it does not say.
    std::string instance_; ///< The target's own id; empty when it does not say.
    bool isStamped_ = false; ///< It is an answer of a target's application and not of something before it.
    bool wasNotRun_ = false; ///< The target states that it did not run the request.
    bool isEncoded_ = false; ///< Its body is not in the form that callers ask for.
    struct Load {
        std::uint32_t running_ = 0;
        std::uint32_t waiting_ = 0;
        std::uint32_t slots_ = 0;
    };
    std::optional<Load> load_;
};

} // namespace fescue
