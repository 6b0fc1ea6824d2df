#pragma once

/** \file
 * CallForwarderImpl: the state of a `CallForwarder`, for its source files only.
 *
 * `RelayedTransfers.cpp` has what concerns requests that go through other VMs, `HeldTransfers.cpp` what
 * concerns streams whose end waits, `OverdueTransfers.cpp` what ends requests at their deadlines,
 * `TransferDispatch.cpp` what sends those that wait, `QuarantinedTransfers.cpp` what ends those that have
 * crashed targets, and `TransferEnds.cpp` what the body and the end of an exchange with a target say of its
 * answer.
 */

#include "CallForwarder.h"

#include "BootClock.h"
#include "CallRelay.h"
#include "CrashTracker.h"
#include "EventLog.h"
#include "Headers.h"
#include "KnownTargets.h"
#include "LinkWatch.h"
#include "Metrics.h"
#include "PoolPrograms.h"
#include "ProcessWitness.h"
#include "RefuseCall.h"
#include "RequestDigest.h"
#include "TargetChoice.h"
#include "Transfer.h"

namespace fescue {

constexpr int misdirectedRequest = 421; ///< Another target has the address now.
constexpr int requestTimeout = 408;
constexpr int tooManyRequests = 429;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;
// Reading from the target pauses while the caller has not read this much of the stream.
// Maximum sends of one request, whatever their outcome; bounds repeated refusals.
constexpr std::uint32_t maxSends = 8;
constexpr Milliseconds retryAfterFailure { 200 };
// Links are probed somewhat more often.
constexpr Milliseconds retryAfterLostLinks { 500 };
// Crashes expire after minutes; the content is refused until then.
constexpr Milliseconds retryAfterQuarantine { 30000 };
// Calls of many VMs run beside each other at a shared target, so two crashes of one call may be chance.
constexpr std::uint32_t sharedCrashesToQuarantine = 3;
constexpr Milliseconds retryAfterShutdown { 50 }; ///< Another VM can take the request at once.
constexpr const char* endsTooSoon = "this VM shuts down before the deadline of the request";
// When targets come back, calls that wait for them need not be sent before anything else is done.
constexpr std::size_t maxDispatchesAtOnce = 32;
constexpr Milliseconds programEvictionInterval { 5000 };

/** Confined to the thread of the event loop, like the forwarder. */
struct CallForwarder::Impl : std::enable_shared_from_this<CallForwarder::Impl> {
    using TransferPtr = std::shared_ptr<Transfer>;

    asio::io_context& io_;
    OutboundPool outbound_;
    ProcessWitness witness_;
    TargetPool pool_;
    bool isDispatchDue_ = false; ///< `dispatchAll` will be called for the rest of many calls.
    Random random_;
    CrashTracker crashTracker_;
    KnownTargets targets_;
    LinkWatch links_;
    CallRelay callRelay_;
    std::map<DispatchId, TransferPtr> transfers_;
    std::set<TransferPtr> held_; ///< Streams that are complete but for their end, which waits for `onWhole_`.
    std::uint64_t lastId_ = 0;
    MonotonicTime evictProgramsAt_;
    std::optional<MonotonicTime> lastAnswerAt_; ///< When all requests must have been answered.
    Counter answered_ { "calls_total", { "outcome", "answered" } };
    Counter refused_ { "calls_total", { "outcome", "refused" } };
    Counter failed_ { "calls_total", { "outcome", "failed" } };
    Counter gone_ { "calls_total", { "outcome", "caller-gone" } };
    Counter relayed_ { "calls_relayed_total" };
    Counter retries_ { "call_retries_total" };
    Counter wholeUnframed_ { "unframed_answers_total", { "outcome", "whole" } };
    Counter brokenUnframed_ { "unframed_answers_total", { "outcome", "broken-off" } };

    Impl(asio::io_context& io, platform::StoreClient& store, PeerExchange& exchange, const ZoneId& zone,
        const WriterId& writer, std::uint64_t seed)
        : io_(io)
        , outbound_(io)
        , witness_(io, outbound_)
        , random_(seed)
        , crashTracker_(pool_.quarantine_, store, writer)
        , targets_(io, exchange, pool_, [this] { dispatchAll(); })
        , links_(outbound_, targets_, zone, random_)
        , callRelay_(exchange, zone, random_)
    {
        pool_.options_.tracksCrashes_ = false;
        pool_.quarantine_.threshold_ = sharedCrashesToQuarantine;
        pool_.zone_ = zone;
        pool_.options_.releasesStalePrefixes_ = false;
        pool_.options_.shared_.isEnabled_ = true;
        pool_.options_.maxDispatchesAtOnce_ = maxDispatchesAtOnce;
        // A service may have few targets, so one lost answer must not back a target off.
        pool_.options_.failuresBeforeBackoff_ = 3;
        pool_.options_.maxBackoff_ = Milliseconds { 1000 };
        pool_.options_.backsOffWholeZone_ = false;
    }

    QueuedCall queuedCall(const Transfer& transfer) const
    {
        QueuedCall queued = toQueuedCall(transfer.call_);
        queued.id_ = transfer.id_;
        queued.digest_ = transfer.digest_;
        queued.avoid_ = transfer.avoid_;
        queued.isOnTrial_ = transfer.isOnTrial_;
        return queued;
    }

    void forward(ForwardedCall call)
    {
        auto transfer = std::make_shared<Transfer>();
        transfer->call_ = std::move(call);
        transfer->digest_ = digestOf(transfer->call_.request_.head_, transfer->call_.request_.body_);
        transfer->relay_.reply_ = transfer->call_.reply_;
        transfer->relay_.isStream_ = transfer->call_.route_.isStream_;
        if (transfer->call_.onWhole_)
            transfer->relay_.data_.emplace();
        transfer->relay_.maxDataBytes_ = transfer->call_.maxOutputBytes_;
        transfer->relay_.maxEvents_
            = maxEventsOf(transfer->call_.tags_.maxTokens_, transfer->call_.service_.tokensPerEvent_);
        transfer->call_.reply_->onDisconnect([weak = weak_from_this(), transfer] {
            if (auto self = weak.lock())
                self->handleCallerDisconnect(transfer);
        });
        // The request has waited for its admission meanwhile.
        if (lastAnswerAt_ && transfer->call_.deadline_ > *lastAnswerAt_)
            return refuse(transfer, endsTooSoon, retryAfterShutdown);
        transfer->isOnTrial_ = crashTracker_.takeTrial(transfer->digest_);
        route(transfer);
        dispatchAll();
    }

    // Tells the answer to a request from others on its connection. An answer without an id may be a second
    // one to an earlier request.
    static std::function<bool(const HttpHead&, bool)> matcherFor(const TransferPtr& transfer)
    {
        return [attempt = transfer->call_.tags_.attempt_](const HttpHead& head, bool isFirst) {
            AttemptId answers = platform::decodeAnswerTags(head).attempt_;
            return answers == attempt || (answers.empty() && isFirst);
        };
    }

    // Whether a caller takes a response for the statement that its request has not run and never will.
    static bool saysNotRun(const HttpHead& head)
    {
        return head.status_ == requestTimeout || head.status_ == misdirectedRequest
            || head.status_ == tooManyRequests || head.status_ == unavailable;
    }

    // Queues a request, or gives it to another VM if this one cannot reach targets.
    void route(const TransferPtr& transfer)
    {
        if (needsRelay(*transfer) && relay(transfer))
            return;
        bool isHopeless = links_.isStranded() && transfer->possibleRuns_ == 0
            && !isAcceptedByAny(pool_, queuedCall(*transfer), bootNow());
        if (isHopeless)
            return refuse(transfer, "neither this VM nor another that could be asked reaches targets",
                retryAfterLostLinks);
        enqueue(transfer);
    }

    // Defined in RelayedTransfers.cpp.
    bool needsRelay(const Transfer& transfer) const;
    bool relay(const TransferPtr& transfer);
    void handleRelayedHead(const TransferPtr& transfer, const HttpHead& peerHead);
    void handleRelayedEnd(const TransferPtr& transfer, const OutboundResult& end);
    void handleRelayRefusal(const TransferPtr& transfer);
    void relayQueued();

    void enqueue(const TransferPtr& transfer)
    {
        transfer->id_ = { ++lastId_ };
        auto queued = enqueueCall(pool_, queuedCall(*transfer), bootNow(), random_);
        if (!queued) {
            const Problem& problem = queued.error();
            if (problem.kind_ == ProblemKind::Quarantined)
                return refuseQuarantined(transfer);
            if (transfer->possibleRuns_ > 0)
                return fail(transfer, badGateway, "no other target can run the request");
            return refuse(transfer, problem.detail_, problem.retryAfter_.value_or(retryAfterFailure));
        }
        transfer->isQueued_ = true;
        transfers_[transfer->id_] = transfer;
    }

    // The statement that it has not run covers this attempt only.
    void refuseQuarantined(const TransferPtr& transfer)
    {
        constexpr const char* reason = "each target that ran this request crashed; change its content";
        if (transfer->possibleRuns_ > 0)
            return fail(transfer, badGateway, reason);
        refuse(transfer, reason, retryAfterQuarantine);
    }

    void refuseQueuedQuarantined(); // Defined in QuarantinedTransfers.cpp.

    // Defined in TransferDispatch.cpp.
    void dispatchAll();
    void continueDispatch();

    void send(const TransferPtr& transfer, const Target& target)
    {
        transfer->isQueued_ = false;
        transfer->isOnTrial_ = false;
        transfer->relayPeer_ = {};
        transfer->target_ = target.id_;
        transfer->version_ = target.version_;
        transfer->targetStartedAt_ = targets_.startOf(target.id_).startedAt_;
        transfer->isRefusal_ = false;
        transfer->sentAt_ = bootNow();
        transfer->connectionOpenAt_ = transfer->sentAt_; // Or there will be no answer.
        ++transfer->sends_;
        const ForwardedCall& call = transfer->call_;
        Milliseconds remaining = call.deadline_ - transfer->sentAt_;
        logSend(*transfer, describeLoad(pool_, target.id_, transfer->sentAt_),
            targets_.listAge(transfer->sentAt_));
        transfer->address_ = targets_.addressOf(target.id_).value_or(asio::ip::tcp::endpoint());
        OutboundRequest request { transfer->address_,
            platform::encodeTargetRequest(call.request_.head_, remaining, target.id_), call.request_.body_ };
        request.needsNewConnection_ = transfer->needsNewConnection_;
        request.repeatKey_ = call.tags_.attempt_.value_;
        request.acceptsUnframed_ = true;
        OutboundCallbacks callbacks;
        callbacks.matchesRequest_ = matcherFor(transfer);
        callbacks.onConnect_ = [this, id = target.id_] { links_.recordConnected(id); };
        callbacks.onHead_ = [this, transfer](const HttpHead& head) { handleHead(transfer, head); };
        callbacks.onBody_ = [this, transfer](std::string part) { handleBody(transfer, std::move(part)); };
        callbacks.onEnd_ = [this, transfer](const OutboundResult& end) { handleEnd(transfer, end); };
        transfer->exchange_ = outbound_.send(std::move(request), std::move(callbacks));
    }

    void handleHead(const TransferPtr& transfer, const HttpHead& head)
    {
        AnswerTags tags = platform::decodeAnswerTags(head);
        if (tags.load_)
            recordLoadReport(
                pool_, transfer->target_, { tags.load_->running_, tags.load_->waiting_, {} }, bootNow());
        readStatements({ transfer->target_, transfer->targetStartedAt_ }, tags);
        takeHead(transfer->relay_, head);
        transfer->isRefusal_ = tags.wasNotRun_;
        if (tags.wasNotRun_) {
            transfer->refusedAt_ = bootNow();
            transfer->refusalBytes_ = 0;
            return;
        }
        if (isSuccess(head) && (!tags.isStamped_ || tags.isEncoded_)) {
            transfer->exchange_->cancel();
            return handleLostAnswer(transfer, false,
                "the answer does not come from the target's application, or has a content encoding");
        }
        if (saysNotRun(head) && transfer->call_.route_.repeatability_ == Repeatability::AtMostOnce) {
            transfer->exchange_->cancel();
            return handleLostAnswer(
                transfer, false, "the target refused the request without stating that it has not run");
        }
        recordOutput(pool_, transfer->id_, bootNow());
        if (transfer->call_.relayOutcome_)
            *transfer->call_.relayOutcome_ = { transfer->target_, transfer->version_, 0, false,
                RelayedStatement { transfer->targetStartedAt_, tags.isLeaving_, tags.rateLimit_ } };
        if (head.framing_ == BodyFraming::UntilClose)
            witness_.prepare(transfer->address_);
        if (isSuccess(head) && transfer->call_.route_.isStream_)
            startRelay(transfer->relay_);
    }

    // Takes in what a target says of itself.
    void readStatements(const TargetStart& start, const AnswerTags& tags)
    {
        if (targets_.readAnswer(start, tags))
            refuseUnserved();
    }

    void refuseUnserved()
    {
        refuseRemoved(removeUnserved(pool_), "all targets that could run the request have left");
    }

    // Refuses calls that were removed from the queue.
    void refuseRemoved(const std::vector<DispatchId>& removed, const char* reason)
    {
        for (DispatchId id : removed) {
            auto entry = transfers_.extract(id);
            if (entry.empty())
                continue;
            const TransferPtr& transfer = entry.mapped();
            if (transfer->possibleRuns_ > 0)
                fail(transfer, badGateway, "no other target can run the request");
            else
                refuse(transfer, reason, retryAfterFailure);
        }
    }

    // Defined in TransferEnds.cpp.
    void handleBody(const TransferPtr& transfer, std::string part);
    void handleRefusalBody(const TransferPtr& transfer, std::size_t bytes);
    void handleRefusal(const TransferPtr& transfer);
    void endStalledRefusals(MonotonicTime now);
    void handleEnd(const TransferPtr& transfer, const OutboundResult& end);
    bool runsBesideItself(const TransferPtr& transfer) const; // Defined in QuarantinedTransfers.cpp.
    void handleLoss(
        const TransferPtr& transfer, bool maybeNeverReceived, const char* reason, MonotonicTime endedAt);
    void checkConnections(MonotonicTime now);
    void awaitSignsOfProcess(const TransferPtr& transfer);
    void handleSignsOfProcess(const TransferPtr& transfer, const ProcessSigns& signs, MonotonicTime endedAt);

    void handleAnswer(const TransferPtr& transfer)
    {
        if (isSuccess(transfer->relay_.head_))
            crashTracker_.onCompleted(transfer->digest_);
        endDispatch(transfer, DispatchOutcome::Answered);
        if (transfer->call_.onWhole_ && isSuccess(transfer->relay_.head_))
            return holdEnd(transfer);
        finishAnswer(transfer);
    }

    void holdEnd(const TransferPtr& transfer); // Defined in HeldTransfers.cpp.

    void finishAnswer(const TransferPtr& transfer)
    {
        finishRelay(transfer->relay_);
        answered_.add();
        observeLatency("call_seconds", bootNow() - transfer->call_.request_.arrived_);
        finish(transfer, "answered", transfer->relay_.head_.status_, "");
        dispatchAll();
    }

    void endDispatch(const TransferPtr& transfer, DispatchOutcome outcome)
    {
        DispatchResult result { outcome };
        result.prompt_ = ownPromptTokens(transfer->call_.tags_);
        result.completion_ = generatedTokens(*transfer);
        completeDispatch(pool_, transfer->id_, result, bootNow(), random_);
        transfers_.erase(transfer->id_);
        if (!transfer->relayPeer_.empty())
            callRelay_.release(transfer->relayPeer_);
    }

    // Handles a request that may have run and whose answer is lost.
    void handleLostAnswer(const TransferPtr& transfer, bool maybeNeverReceived, const char* reason)
    {
        ++transfer->possibleRuns_;
        endDispatch(transfer, DispatchOutcome::ConnectionLost);
        const Route& route = transfer->call_.route_;
        bool canRetry = route.repeatability_ == Repeatability::Repeatable && !transfer->relay_.hasStarted_;
        if (canRetry && transfer->possibleRuns_ < route.maxAttempts_) {
            // A reused connection that closes without a byte was usually closed before the request arrived,
            // which does not indicate a fault of the target.
            if (maybeNeverReceived && !transfer->needsNewConnection_)
                transfer->needsNewConnection_ = true;
            else
                transfer->avoid_.insert(transfer->target_);
            return retry(transfer, reason);
        }
        fail(transfer, badGateway, reason);
    }

    void retry(const TransferPtr& transfer, const char* reason)
    {
        logEvent("send-again",
            { { "request", transfer->call_.tags_.attempt_.value_ }, { "target", transfer->target_.value_ },
                { "reason", reason }, { "may_have_run", std::to_string(transfer->possibleRuns_) } });
        retries_.add();
        if (transfer->sends_ >= maxSends) {
            if (transfer->possibleRuns_ > 0)
                return fail(transfer, badGateway, reason);
            return refuse(transfer, "too many targets refused the request", retryAfterFailure);
        }
        route(transfer);
        dispatchAll();
    }

    // Tells a VM that relays through this one that the answer is not a target's, and how often the request
    // may have run.
    static void setRefused(const Transfer& transfer, std::uint32_t possibleRuns)
    {
        if (transfer.call_.relayOutcome_)
            *transfer.call_.relayOutcome_ = { {}, {}, possibleRuns, false };
    }

    void refuse(const TransferPtr& transfer, const std::string& reason, Milliseconds retryAfter)
    {
        refused_.add();
        setRefused(*transfer, 0);
        refuseCall(*transfer->call_.reply_, transfer->call_.tags_.attempt_, unavailable, reason, retryAfter);
        finish(transfer, "refused", unavailable, reason);
    }

    void fail(const TransferPtr& transfer, int status, const char* reason)
    {
        failed_.add();
        // What is in flight does not count as a possible run yet.
        setRefused(*transfer, std::max(1U, transfer->possibleRuns_));
        if (transfer->relay_.hasStarted_)
            transfer->call_.reply_->abort();
        else
            refuseCall(*transfer->call_.reply_, transfer->call_.tags_.attempt_, status, reason, std::nullopt);
        finish(transfer, "failed", status, reason);
    }

    void handleCallerDisconnect(const TransferPtr& transfer)
    {
        if (transfer->isFinished_)
            return;
        if (held_.erase(transfer) == 0)
            cancelTransfer(transfer);
        gone_.add();
        finish(transfer, "caller-gone", 0, "the caller closed its connection");
        dispatchAll();
    }

    // Removes a request from the queue, or cancels it at its target.
    void cancelTransfer(const TransferPtr& transfer)
    {
        if (transfer->isQueued_) {
            removeQueued(pool_, transfer->id_);
            transfers_.erase(transfer->id_);
            return;
        }
        if (transfer->exchange_)
            transfer->exchange_->cancel();
        endDispatch(transfer, DispatchOutcome::Cancelled);
    }

    void finish(const TransferPtr& transfer, const char* outcome, int status, const std::string& reason)
    {
        transfer->isFinished_ = true;
        if (transfer->isOnTrial_)
            crashTracker_.returnTrial(transfer->digest_);
        logFinish(*transfer, outcome, status, reason, bootNow());
        const ForwardedCall& call = transfer->call_;
        if (call.onEnd_)
            call.onEnd_(generatedTokens(*transfer), transfer->target_);
    }

    void tick(const TargetList& list, MonotonicTime now)
    {
        outbound_.tick(now);
        crashTracker_.tick(
            list,
            [this](const TargetId& target) {
                auto address = targets_.addressOf(target);
                return address ? outbound_.connectedSince(*address) : std::nullopt;
            },
            now);
        refuseQueuedQuarantined();
        targets_.tick(list, now);
        links_.tick(now);
        relayQueued();
        resumeReading();
        checkConnections(now);
        witness_.tick(now);
        refuseRemoved(removeHopeless(pool_, now),
            "the rates that the targets have named leave no time for the request");
        endStalledRefusals(now);
        endOverdue(now);
        dropPrograms(now);
        dispatchAll();
    }

    void dropPrograms(MonotonicTime now)
    {
        if (now < evictProgramsAt_ && !hasTooManyPrograms(pool_, {}))
            return;
        evictProgramsAt_ = now + programEvictionInterval;
        evictPrograms(pool_, {}, now);
    }

    void resumeReading()
    {
        for (const auto& [id, transfer] : transfers_) {
            const FrontReply& reply = *transfer->call_.reply_;
            if (!transfer->isPaused_ || reply.pendingBytes() > reply.maxPendingBytes() / 2)
                continue;
            transfer->isPaused_ = false;
            transfer->exchange_->pauseReading(false);
        }
    }

    void endOverdue(MonotonicTime now); // Defined in OverdueTransfers.cpp.

    void setTargets(const TargetList& list, const ServingConfig& config)
    {
        targets_.set(list, config);
        links_.setTargets(list);
        refuseUnserved();
        dispatchAll();
    }
};

} // namespace fescue
