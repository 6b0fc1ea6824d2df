#include "ForwardedCall.h"

namespace fescue {

QueuedCall toQueuedCall(const ForwardedCall& call)
{
    QueuedCall queued;
    queued.workspace_ = call.workspace_;
    queued.rank_ = call.rank_;
    queued.program_ = call.tags_.program_;
    if (call.service_.isModel_)
        queued.model_ = { call.service_.id_.value_ };
    else
        queued.service_ = call.service_.id_;
    queued.promptTokens_ = ownPromptTokens(call.tags_);
    queued.maxTokens_ = call.tags_.maxTokens_;
    queued.bytes_ = { static_cast<std::int64_t>(call.request_.body_.size()) };
    queued.arrived_ = call.request_.arrived_;
    queued.deadline_ = call.deadline_;
    if (call.tags_.programDeadline_ && !call.tags_.program_.empty())
        queued.programDue_ = call.request_.arrived_ + *call.tags_.programDeadline_;
    queued.startsProgram_ = call.startsProgram_;
    queued.cachingTarget_ = call.cachingTarget_;
    if (call.route_.hasAffinity_)
        queued.affinityKey_ = call.tags_.affinityKey_;
    queued.version_ = call.version_;
    return queued;
}

TokenCount ownPromptTokens(const CallTags& tags)
{
    return tags.prompt_.empty() ? tags.promptTokens_ : tags.prompt_.back().tokens_;
}

} // namespace fescue
