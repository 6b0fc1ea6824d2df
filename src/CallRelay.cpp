#include "CallRelay.h"

#include "BootClock.h"
#include "EventLog.h"
#include "PeerProtocol.h"
#include "RefuseCall.h"

namespace fescue {

namespace {

    constexpr const char* relayPath = "/relay";
    constexpr int unavailable = 503;

    // Adds what became of the call to the head of its reply.
    class RelayReply final : public FrontReply {
    public:
        RelayReply(
            std::shared_ptr<FrontReply> reply, std::shared_ptr<const RelayOutcome> outcome, PeerProtocol peer)
            : reply_(std::move(reply))
            , outcome_(std::move(outcome))
            , peer_(peer)
        {
        }

        void answer(HttpHead head, std::string_view body) override
        {
            addOutcome(head, outcomeForPeer());
            reply_->answer(std::move(head), body);
        }
        void begin(HttpHead head) override
        {
            addOutcome(head, outcomeForPeer());
            reply_->begin(std::move(head));
        }
        void write(std::string_view part) override { reply_->write(part); }
        void end() override { reply_->end(); }
        void abort() override { reply_->abort(); }
        std::size_t pendingBytes() const override { return reply_->pendingBytes(); }
        std::size_t maxPendingBytes() const override { return reply_->maxPendingBytes(); }
        bool reserve(std::size_t bytes) override { return reply_->reserve(bytes); }
        void release(std::size_t bytes) override { reply_->release(bytes); }
        bool reserveForAnswer(std::size_t bytes) override { return reply_->reserveForAnswer(bytes); }
        void releaseAnswer(std::size_t bytes) override { reply_->releaseAnswer(bytes); }
        void onDisconnect(std::function<void()> callback) override
        {
            reply_->onDisconnect(std::move(callback));
        }

    private:
        RelayOutcome outcomeForPeer() const
        {
            RelayOutcome outcome = *outcome_;
            // An older release would pass the header on to the caller.
            if (!understands(peer_, PeerFeature::RelayedStatements))
                outcome.statement_.reset();
            return outcome;
        }

        std::shared_ptr<FrontReply> reply_;
        std::shared_ptr<const RelayOutcome> outcome_;
        PeerProtocol peer_; ///< Of the VM that gets the reply.
    };

} // namespace

CallRelay::CallRelay(PeerExchange& exchange, const ZoneId& zone, Random& random)
    : exchange_(exchange)
    , zone_(zone)
    , random_(random)
{
}

std::optional<RelayedExchange> CallRelay::send(
    const ForwardedCall& call, std::uint32_t possibleRuns, std::set<VmId>& tried, OutboundCallbacks callbacks)
{
    auto peer = chooseRelay(relays_, exchange_.peers(), zone_, tried, bootNow(), random_);
    if (!peer)
        return std::nullopt;
    tried.insert(peer->vm_);
    auto exchange
        = exchange_.post(*peer, relayPath, encode(call, possibleRuns, bootNow()), std::move(callbacks));
    if (!exchange)
        return std::nullopt;
    ++relays_[peer->vm_].inFlight_;
    return RelayedExchange { peer->vm_, std::move(exchange) };
}

void CallRelay::recordAnswer(const VmId& peer, bool isAnswered)
{
    recordPeerOutcome(exchange_.peers(), peer, isAnswered, bootNow());
}

void CallRelay::recordUnavailable(const VmId& peer) { recordRelayUnavailable(relays_, peer, bootNow()); }

void CallRelay::release(const VmId& peer)
{
    auto relay = relays_.find(peer);
    if (relay != relays_.end() && relay->second.inFlight_ > 0)
        --relay->second.inFlight_;
}

void CallRelay::serve(std::function<void(ForwardedCall)> handler)
{
    exchange_.serve(relayPath,
        [handler = std::move(handler)](
            const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
            auto call = parseRelayedCall(request.body_, bootNow());
            if (!call)
                return refuseMalformed(*reply, request);
            call->relayOutcome_ = std::make_shared<RelayOutcome>();
            call->reply_
                = std::make_shared<RelayReply>(reply, call->relayOutcome_, protocolOf(request.head_));
            handler(std::move(*call));
        });
}

void refuseRelay(const ForwardedCall& call, const char* reason)
{
    call.relayOutcome_->isUnavailable_ = true;
    logEvent("relay-refused", { { "request", call.tags_.attempt_.value_ }, { "reason", reason } });
    refuseCall(*call.reply_, call.tags_.attempt_, unavailable, reason, std::nullopt);
}

} // namespace fescue
