#include "OutboundConnection.h"

#include <algorithm>
#include <asio/post.hpp>
#include <xxhash.h>

namespace fescue {

namespace {

    using asio::ip::tcp;

    constexpr int ok = 200;
    constexpr int multipleChoices = 300;

    // The hash of a request's key. Two keys with one hash cost a connection, no more.
    std::uint64_t hashOf(const std::string& key) { return XXH64(key.data(), key.size(), 0); }

} // namespace

OutboundConnection::OutboundConnection(std::shared_ptr<OutboundPoolState> state, tcp::endpoint peer)
    : state_(std::move(state))
    , peer_(peer)
    , link_(TcpLink::create(state_->io_, state_->limits_.buffers_))
    , reader_(HttpReader::Side::Responses, state_->limits_.message_)
{
}

void OutboundConnection::connect(Milliseconds timeout)
{
    auto self = shared_from_this();
    link_->setCallbacks(
        { [self] { self->handleConnect(); }, [self](std::string_view data) { self->handleData(data); },
            [self](CloseReason how) { self->handleEnd(how); } });
    connectDeadline_ = bootNow() + timeout;
    state_->connecting_.insert(self);
    ++state_->connectionsMade_;
    link_->connect(peer_);
}

void OutboundConnection::run(OutboundRequest request, OutboundCallbacks callbacks)
{
    callbacks_ = std::move(callbacks);
    isBusy_ = true;
    acceptsUnframed_ = request.acceptsUnframed_;
    repeatKey_.reset();
    if (!request.repeatKey_.empty())
        repeatKey_ = hashOf(request.repeatKey_);
    skippedBytes_ = 0;
    request_ = serialize(request);
    if (request.head_.method_ == "HEAD")
        reader_.expectNoBody();
    if (isConnected_)
        sendRequest();
}

void OutboundConnection::cancel()
{
    state_->connecting_.erase(shared_from_this());
    // This may be called from one of the callbacks, which must not be destroyed before it returns.
    asio::post(state_->io_, [kept = std::make_shared<OutboundCallbacks>(std::move(callbacks_))] {});
    callbacks_ = {};
    isBusy_ = false;
    link_->close(true);
}

void OutboundConnection::tick(MonotonicTime now)
{
    if (!isConnected_ && now > connectDeadline_) {
        link_->close(true);
        endProbe(false);
        finish(OutboundResult::Outcome::NotSent, "connection timed out");
    }
}

bool OutboundConnection::hasAnswered(const std::string& key) const
{
    return std::count(answeredKeys_.begin(), answeredKeys_.end(), hashOf(key)) > 0;
}

std::string OutboundConnection::serialize(OutboundRequest& request)
{
    const std::string& method = request.head_.method_;
    if (!request.body_.empty() || (method != "GET" && method != "HEAD" && method != "DELETE"))
        request.head_.headers_.push_back({ "Content-Length", std::to_string(request.body_.size()) });
    return toText(request.head_) + request.body_;
}

void OutboundConnection::handleConnect()
{
    state_->connecting_.erase(shared_from_this());
    isConnected_ = true;
    connectedAt_ = bootNow();
    state_->established_[peer_].push_back(weak_from_this());
    if (onProbed_)
        returnToPool(state_->limits_.idleTimeout_);
    endProbe(true);
    if (!isBusy_)
        return;
    if (callbacks_.onConnect_)
        callbacks_.onConnect_();
    sendRequest();
}

void OutboundConnection::endProbe(bool isConnected)
{
    state_->connecting_.erase(shared_from_this());
    if (onProbed_)
        std::exchange(onProbed_, nullptr)(isConnected);
}

void OutboundConnection::sendRequest()
{
    wasSent_ = true;
    link_->send(request_);
    request_.clear();
    request_.shrink_to_fit();
}

void OutboundConnection::handleData(std::string_view data)
{
    if (!isBusy_) {
        // Bytes without a request: a later response could not be matched to its request.
        return discard();
    }
    auto self = shared_from_this();
    while (!data.empty() && isBusy_) {
        bool isBeforeResponse = !hasHead_ || isForOtherRequest_;
        std::size_t used = reader_.feed(data);
        data.remove_prefix(used);
        if (reader_.error())
            return fail("the response is not valid HTTP");
        skippedBytes_ += isBeforeResponse ? used : 0;
        if (skippedBytes_ > state_->limits_.maxSkippedBytes_)
            return fail("the connection carries too many bytes that belong to no request");
        if (!reader_.hasHead())
            return;
        if (!forwardMessage())
            return;
        if (reader_.isComplete())
            completeMessage(!data.empty());
    }
}

bool OutboundConnection::forwardMessage()
{
    bool isInterim = reader_.head().status_ < 200;
    if (!hasHead_ && !isInterim) {
        hasHead_ = true;
        isForOtherRequest_
            = callbacks_.matchesRequest_ && !callbacks_.matchesRequest_(reader_.head(), !isReused_);
        if (!isForOtherRequest_ && callbacks_.onHead_)
            callbacks_.onHead_(reader_.head());
    }
    std::string body = reader_.takeBody();
    if (isBusy_ && !body.empty() && !isForOtherRequest_ && callbacks_.onBody_)
        callbacks_.onBody_(std::move(body));
    return isBusy_;
}

void OutboundConnection::completeMessage(bool hasMore)
{
    if (!hasHead_ || isForOtherRequest_) { // An interim response, or one to an earlier request.
        bool canContinue = isDelimited() && reader_.head().keepsAlive_;
        hasHead_ = false;
        isForOtherRequest_ = false;
        reader_.next();
        if (!canContinue)
            fail("received only a response to another request");
        return;
    }
    bool isSuccess = reader_.head().status_ >= ok && reader_.head().status_ < multipleChoices;
    if (repeatKey_ && !isSuccess)
        answeredKeys_.push_back(*repeatKey_);
    bool canReuse = isDelimited() && reader_.head().keepsAlive_ && !hasMore && link_->queuedBytes() == 0
        && !link_->hasWriteFailed() && answeredKeys_.size() < state_->limits_.maxAnsweredKeys_;
    Milliseconds idleTimeout = state_->limits_.idleTimeout_;
    if (auto announced = announcedIdleTimeout(reader_.head()))
        idleTimeout = std::min(idleTimeout, *announced - state_->limits_.idleTimeoutMargin_);
    reader_.next();
    hasHead_ = false;
    bool wasReused = std::exchange(isReused_, true);
    isBusy_ = false;
    link_->pauseReading(false); // A pause ends with its exchange.
    auto callbacks = std::move(callbacks_);
    callbacks_ = {};
    if (canReuse && idleTimeout.count() > 0)
        returnToPool(idleTimeout);
    else
        link_->close();
    if (callbacks.onEnd_)
        callbacks.onEnd_({ OutboundResult::Outcome::Answered, wasReused, true, connectionEnd_, "" });
}

void OutboundConnection::returnToPool(Milliseconds idleTimeout)
{
    wasSent_ = false;
    std::vector<IdleConnection>& idle = state_->idle_[peer_];
    if (idle.size() >= state_->limits_.maxIdlePerPeer_) {
        idle.front().connection_->close();
        idle.erase(idle.begin());
    }
    idle.push_back({ shared_from_this(), bootNow() + idleTimeout });
}

void OutboundConnection::discard()
{
    link_->close(true);
    removeFromIdle();
}

void OutboundConnection::removeFromIdle()
{
    auto found = state_->idle_.find(peer_);
    if (found == state_->idle_.end())
        return;
    auto& idle = found->second;
    idle.erase(std::remove_if(idle.begin(), idle.end(),
                   [this](const IdleConnection& entry) { return entry.connection_.get() == this; }),
        idle.end());
}

void OutboundConnection::handleEnd(CloseReason how)
{
    auto self = shared_from_this();
    endProbe(false);
    if (isConnected_ && !endsWithResponse())
        recordLoss();
    if (!isBusy_)
        return removeFromIdle();
    if (how != CloseReason::ConnectFailed)
        connectionEnd_ = how == CloseReason::ClosedByPeer ? OutboundResult::ConnectionEnd::Closed
                                                          : OutboundResult::ConnectionEnd::Reset;
    // A response without a length ends with its connection; after a reset it is incomplete.
    if (how == CloseReason::ClosedByPeer && hasHead_ && !isForOtherRequest_) {
        reader_.feedEof();
        if (reader_.isComplete() && acceptsUnframed_)
            return completeMessage(false);
    }
    fail(how == CloseReason::ConnectFailed ? "connection failed"
                                           : "connection closed before the end of the response");
}

void OutboundConnection::fail(const char* reason)
{
    link_->close(true);
    finish(wasSent_ ? OutboundResult::Outcome::Unknown : OutboundResult::Outcome::NotSent, reason);
}

void OutboundConnection::finish(OutboundResult::Outcome outcome, const char* reason)
{
    state_->connecting_.erase(shared_from_this());
    if (!isBusy_)
        return;
    isBusy_ = false;
    auto callbacks = std::move(callbacks_);
    callbacks_ = {};
    if (callbacks.onEnd_)
        callbacks.onEnd_({ outcome, isReused_, hasHead_, connectionEnd_, reason });
}

} // namespace fescue
