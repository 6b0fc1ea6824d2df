#include "CallForwarderImpl.h"

namespace fescue {

namespace {

    // The rest of a refusal is awaited for this long, and up to this size, since its connection can be used
    // again after it. The head has said all that counts.
    constexpr Milliseconds refusalBodyTimeout { 100 };
    constexpr std::size_t maxRefusalBytes = 64 * 1024;

} // namespace

void CallForwarder::Impl::handleBody(const TransferPtr& transfer, std::string part)
{
    if (transfer->isRefusal_)
        return handleRefusalBody(transfer, part.size());
    if (transfer->relay_.hasStarted_ && transfer->call_.onBegin_)
        std::exchange(transfer->call_.onBegin_, nullptr)(transfer->version_);
    if (const char* excess = relayBody(transfer->relay_, std::move(part))) {
        transfer->exchange_->cancel();
        return handleLostAnswer(transfer, false, excess);
    }
    // A buffered answer does not add to what its caller has not read of earlier ones.
    const FrontReply& reply = *transfer->call_.reply_;
    bool isBehind = transfer->relay_.hasStarted_ && reply.pendingBytes() > reply.maxPendingBytes();
    if (isBehind && !transfer->isPaused_) {
        transfer->isPaused_ = true;
        transfer->exchange_->pauseReading(true);
    }
}

void CallForwarder::Impl::handleRefusalBody(const TransferPtr& transfer, std::size_t bytes)
{
    transfer->refusalBytes_ += bytes;
    // What another VM answers is bounded by that VM.
    if (transfer->refusalBytes_ <= maxRefusalBytes || !transfer->relayPeer_.empty())
        return;
    transfer->exchange_->cancel();
    handleRefusal(transfer);
}

void CallForwarder::Impl::handleRefusal(const TransferPtr& transfer)
{
    endDispatch(transfer, DispatchOutcome::Refused);
    if (transfer->relay_.head_.status_ == misdirectedRequest)
        transfer->avoid_.insert(transfer->target_);
    retry(transfer, "the target refused the request");
}

void CallForwarder::Impl::endStalledRefusals(MonotonicTime now)
{
    std::vector<TransferPtr> stalled;
    for (const auto& [id, transfer] : transfers_) {
        bool isRefused = transfer->isRefusal_ && !transfer->isQueued_ && transfer->relayPeer_.empty();
        if (isRefused && now >= transfer->refusedAt_ + refusalBodyTimeout)
            stalled.push_back(transfer);
    }
    for (const TransferPtr& transfer : stalled) {
        transfer->exchange_->cancel();
        handleRefusal(transfer);
    }
}

void CallForwarder::Impl::handleEnd(const TransferPtr& transfer, const OutboundResult& end)
{
    if (end.outcome_ == OutboundResult::Outcome::NotSent) {
        ++transfer->linkFailures_;
        links_.recordFailure(transfer->target_, end.reason_);
        endDispatch(transfer, DispatchOutcome::Unreachable);
        return retry(transfer, end.reason_);
    }
    transfer->connectionEnd_ = end.connectionEnd_;
    if (transfer->isRefusal_) // Whether its body is whole or not.
        return handleRefusal(transfer);
    bool isAnswered = end.outcome_ == OutboundResult::Outcome::Answered;
    const char* lossReason = isAnswered ? findBreak(transfer->relay_) : end.reason_;
    if (lossReason)
        return handleLoss(transfer, end.wasReused_ && !end.hadHead_, lossReason, bootNow());
    if (transfer->relay_.head_.framing_ == BodyFraming::UntilClose)
        return awaitSignsOfProcess(transfer);
    handleAnswer(transfer);
}

void CallForwarder::Impl::handleLoss(
    const TransferPtr& transfer, bool maybeNeverReceived, const char* reason, MonotonicTime endedAt)
{
    if (transfer->connectionEnd_ != OutboundResult::ConnectionEnd::Open) {
        crashTracker_.onConnectionEnded(
            { transfer->digest_, transfer->target_, transfer->targetStartedAt_, endedAt });
        if (runsBesideItself(transfer))
            crashTracker_.onConcurrentRuns(transfer->digest_);
    }
    handleLostAnswer(transfer, maybeNeverReceived, reason);
}

// Only what is learned of a target while its connection is open is about the process that sends the answer.
void CallForwarder::Impl::checkConnections(MonotonicTime now)
{
    for (const auto& [id, transfer] : transfers_) {
        bool isUnframed = transfer->relay_.head_.framing_ == BodyFraming::UntilClose;
        if (isUnframed && !transfer->isQueued_ && transfer->exchange_->isPeerOpen())
            transfer->connectionOpenAt_ = now;
    }
}

// The target's process may have ended, which closes its connections in order, too.
void CallForwarder::Impl::awaitSignsOfProcess(const TransferPtr& transfer)
{
    auto onJudged = [weak = weak_from_this(), transfer, endedAt = bootNow()](const ProcessSigns& signs) {
        auto self = weak.lock();
        if (self && !transfer->isFinished_)
            self->handleSignsOfProcess(transfer, signs, endedAt);
    };
    witness_.judge(
        { transfer->address_, transfer->sentAt_, transfer->connectionOpenAt_ }, std::move(onJudged));
}

void CallForwarder::Impl::handleSignsOfProcess(
    const TransferPtr& transfer, const ProcessSigns& signs, MonotonicTime endedAt)
{
    logEvent("unframed-end",
        { { "request", transfer->call_.tags_.attempt_.value_ }, { "target", transfer->target_.value_ },
            { "other_connections", std::to_string(signs.connections_) },
            { "opened", signs.wasConnectionOpened_ ? "1" : "0" },
            { "outcome", signs.isRunning_ ? "whole" : "broken-off" } });
    (signs.isRunning_ ? wholeUnframed_ : brokenUnframed_).add();
    if (signs.isRunning_)
        return handleAnswer(transfer);
    constexpr const char* reason = "the target ended, or may have, before the end of its answer";
    // A target that leaves ends once it has finished its answers, and no request makes it do so.
    if (!acceptsCalls(pool_, transfer->target_))
        return handleLostAnswer(transfer, false, reason);
    handleLoss(transfer, false, reason, endedAt);
}

} // namespace fescue
