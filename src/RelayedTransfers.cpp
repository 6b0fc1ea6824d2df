#include "CallForwarderImpl.h"

#include <algorithm>
#include <charconv>

namespace fescue {

namespace {

    // VMs through which one request may go, one after the other, if they cannot relay it.
    constexpr std::size_t maxRelays = 3;
    // Of one request, from which on another VM is more likely to reach a target than this one.
    constexpr std::uint32_t minLinkFailures = 2;

    // The time that the relaying VM has named.
    std::optional<Milliseconds> retryAfterOf(const HttpHead& refusal)
    {
        const std::string* value = findHeader(refusal, "Retry-After");
        double seconds = 0;
        if (!value
            || std::from_chars(value->data(), value->data() + value->size(), seconds).ec != std::errc())
            return std::nullopt;
        constexpr double msPerSecond = 1000;
        constexpr double maxSeconds = 60;
        return Milliseconds { static_cast<std::int64_t>(std::clamp(seconds, 0.0, maxSeconds) * msPerSecond) };
    }

} // namespace

bool CallForwarder::Impl::needsRelay(const Transfer& transfer) const
{
    bool hasLinks = !links_.isStranded() && transfer.linkFailures_ < minLinkFailures;
    return !hasLinks && !transfer.call_.relayOutcome_ && transfer.relaysTried_.size() < maxRelays;
}

bool CallForwarder::Impl::relay(const TransferPtr& transfer)
{
    if (isQuarantined(pool_.quarantine_, transfer->digest_, bootNow()))
        return false;
    OutboundCallbacks callbacks;
    // What a VM answers itself may bear no id; it sends no second answers.
    callbacks.matchesRequest_
        = [matches = matcherFor(transfer)](const HttpHead& head, bool) { return matches(head, true); };
    callbacks.onHead_ = [this, transfer](const HttpHead& head) { handleRelayedHead(transfer, head); };
    callbacks.onBody_ = [this, transfer](std::string part) { handleBody(transfer, std::move(part)); };
    callbacks.onEnd_ = [this, transfer](const OutboundResult& end) { handleRelayedEnd(transfer, end); };
    auto sent = callRelay_.send(
        transfer->call_, transfer->possibleRuns_, transfer->relaysTried_, std::move(callbacks));
    if (!sent)
        return false;
    transfer->id_ = { ++lastId_ };
    transfers_[transfer->id_] = transfer;
    transfer->exchange_ = std::move(sent->exchange_);
    transfer->relayPeer_ = sent->peer_;
    transfer->relayOutcome_.reset();
    transfer->isRefusal_ = false;
    transfer->sentAt_ = bootNow();
    ++transfer->sends_;
    relayed_.add();
    logRelay(*transfer,
        links_.isStranded() ? "this VM has lost its links to targets"
                            : "several targets could not be reached");
    return true;
}

void CallForwarder::Impl::handleRelayedHead(const TransferPtr& transfer, const HttpHead& peerHead)
{
    HttpHead head = peerHead;
    transfer->relayOutcome_ = takeOutcome(head);
    takeHead(transfer->relay_, head);
    transfer->isRefusal_ = !transfer->relayOutcome_ || transfer->relayOutcome_->target_.empty();
    if (transfer->isRefusal_)
        return;
    transfer->target_ = transfer->relayOutcome_->target_;
    transfer->version_ = transfer->relayOutcome_->version_;
    // The caller gets the answer from this VM, so this VM has to know what it says.
    if (const auto& statement = transfer->relayOutcome_->statement_) {
        AnswerTags tags = platform::decodeAnswerTags(head);
        tags.isLeaving_ = statement->isLeaving_;
        tags.rateLimit_ = statement->rateLimit_;
        readStatements({ transfer->target_, statement->startedAt_ }, tags);
    }
    if (isSuccess(head) && transfer->call_.route_.isStream_)
        startRelay(transfer->relay_);
}

void CallForwarder::Impl::handleRelayedEnd(const TransferPtr& transfer, const OutboundResult& end)
{
    bool isAnswered = end.outcome_ == OutboundResult::Outcome::Answered;
    // What breaks off after its head was mostly broken off by the target.
    callRelay_.recordAnswer(transfer->relayPeer_, isAnswered || transfer->relayOutcome_);
    if (end.outcome_ == OutboundResult::Outcome::NotSent) {
        endDispatch(transfer, DispatchOutcome::Unreachable);
        return retry(transfer, "the relaying VM could not be reached");
    }
    if (const char* loss = isAnswered ? findBreak(transfer->relay_) : end.reason_)
        return handleLostAnswer(transfer, false, loss);
    if (transfer->isRefusal_)
        return handleRelayRefusal(transfer);
    handleAnswer(transfer);
}

void CallForwarder::Impl::handleRelayRefusal(const TransferPtr& transfer)
{
    // Without an outcome the peer has rejected the message itself.
    RelayOutcome outcome = transfer->relayOutcome_.value_or(RelayOutcome { {}, {}, 0, true });
    if (outcome.possibleRuns_ > 0) {
        transfer->possibleRuns_ += outcome.possibleRuns_ - 1;
        return handleLostAnswer(transfer, false, "the answer to the relaying VM was lost");
    }
    if (outcome.isUnavailable_)
        callRelay_.recordUnavailable(transfer->relayPeer_);
    endDispatch(transfer, DispatchOutcome::Refused);
    if (outcome.isUnavailable_)
        return retry(transfer, "the other VM cannot relay now");
    if (transfer->possibleRuns_ > 0)
        return fail(transfer, badGateway, "no other target can run the request");
    refuse(transfer, "the relaying VM found no target for the request",
        retryAfterOf(transfer->relay_.head_).value_or(retryAfterFailure));
}

// Gives queued requests to other VMs once the links are lost.
void CallForwarder::Impl::relayQueued()
{
    if (!links_.isStranded())
        return;
    std::vector<TransferPtr> queued;
    for (const auto& [id, transfer] : transfers_) {
        if (transfer->isQueued_ && needsRelay(*transfer))
            queued.push_back(transfer);
    }
    for (const TransferPtr& transfer : queued) {
        // The end of one request may begin another, and with it send any that wait.
        if (transfer->isFinished_ || !transfer->isQueued_)
            continue;
        cancelTransfer(transfer);
        transfer->isQueued_ = false;
        route(transfer);
    }
}

} // namespace fescue
