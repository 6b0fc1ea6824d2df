#pragma once

/** \file
 * FrontSessionImpl: the member functions of `FrontSession`, for FrontServer.cpp only.
 */

#include "BootClock.h"
#include "FrontSession.h"

#include <algorithm>

namespace fescue {

namespace {

    // Bytes of pipelined requests that are buffered while one is served; reading is paused beyond them.
    constexpr std::size_t maxPipelinedBytes = 256 * 1024;
    // While room is short, a session without room reads this much at a time, so that all of them together
    // exceed the budget by little.
    constexpr std::size_t narrowReadBytes = 4 * 1024;
    // A caller may reuse a connection until its idle timeout ends, and the close must not race with such a
    // request.
    constexpr Milliseconds idleTimeoutMargin { 500 };
    // A caller gives up a connection that is not read for a second.
    constexpr Milliseconds maxRoomWait { 1000 };
    // So long a refused caller may go on sending and still receives the refusal.
    constexpr Milliseconds lingerTime { 1000 };
    constexpr const char* retryAfterNoRoom = "0.20";

    int statusOf(HttpParseError error)
    {
        switch (error) {
        case HttpParseError::HeadTooLarge:
            return 431;
        case HttpParseError::BodyTooLarge:
            return 413;
        case HttpParseError::BadHead:
        case HttpParseError::BadBody:
            break;
        }
        return 400;
    }

    const char* messageOf(HttpParseError error)
    {
        switch (error) {
        case HttpParseError::HeadTooLarge:
            return "the request head is too large; send fewer or shorter header lines";
        case HttpParseError::BodyTooLarge:
            return "the request body is too large; send a smaller one";
        case HttpParseError::BadBody:
            return "the chunked encoding of the body is malformed; send valid chunks";
        case HttpParseError::BadHead:
            break;
        }
        return "the request head is malformed or its framing is ambiguous; send either one Content-Length or "
               "chunks";
    }

    std::size_t costOfHead(const HttpHead& head)
    {
        std::size_t bytes = head.method_.size() + head.target_.size();
        for (const HttpHeader& header : head.headers_)
            bytes += header.name_.size() + header.value_.size();
        return costOfRequest(head.headers_.size(), bytes, 0);
    }

} // namespace

FrontSession::FrontSession(std::shared_ptr<TcpLink> link, std::shared_ptr<FrontShared> shared)
    : link_(std::move(link))
    , shared_(std::move(shared))
    , reader_(HttpReader::Side::Requests, shared_->limits_.message_)
    , lastActive_(bootNow())
{
    account();
}

void FrontSession::start()
{
    auto self = shared_from_this();
    // The rest is for connections that need wide buffers.
    widenReceiveBuffer(shared_->limits_.memory_.forWideBuffers_ / 2);
    link_->setCallbacks({ nullptr, [self](std::string_view data) { self->handleData(data); },
        [self](CloseReason) { self->handleClose(); }, [self] { self->awaitTurn(); } });
    awaitTurn();
}

void FrontSession::refuseNext()
{
    isSurplus_ = true;
    ++shared_->surplus_;
}

void FrontSession::handleData(std::string_view data)
{
    if (isClosing_)
        return;
    lastActive_ = bootNow();
    input_.append(data);
    parse();
}

bool FrontSession::canParse() const
{
    // A request that has begun may have room, and must not keep it while it waits for its caller to read.
    std::size_t maxUnread = reader_.hasStarted() ? maxUnreadAnswerBytes : maxUnreadBytes();
    return !reply_ && !isClosing_ && !waitingSince_ && !input_.empty() && link_->isOpen()
        && link_->queuedBytes() <= maxUnread;
}

void FrontSession::parse()
{
    if (isParsing_)
        return;
    isParsing_ = true;
    auto self = shared_from_this();
    if (canParse())
        parseRequest();
    isParsing_ = false;
    settle();
}

// Leaves the next request to a turn of the session: one that begins within the end of the last one could end
// others in its turn, and so on without a bound.
void FrontSession::settle()
{
    if (isParsing_)
        return;
    if (input_.empty())
        std::string().swap(input_);
    updatePause();
    account();
    if (canParse())
        awaitTurn();
}

// Goes on with a request, up to its end.
void FrontSession::parseRequest()
{
    if (!reader_.hasStarted())
        reader_.setLimits(shared_->limits_.message_);
    std::size_t used = reader_.feed(input_);
    input_.erase(0, used);
    headBytes_ = reader_.hasHead() ? 0 : headBytes_ + used;
    if (reader_.hasStarted() && !headStartedAt_)
        headStartedAt_ = lastActive_;
    if (reader_.error())
        return reject(statusOf(*reader_.error()), messageOf(*reader_.error()));
    if (!reader_.hasHead())
        return;
    if (isSurplus_)
        return reject(serviceUnavailable, noRoom);
    bool isFirst = !std::exchange(hasHead_, true);
    if (isFirst) {
        headCompletedAt_ = lastActive_;
        headCost_ = costOfHead(reader_.head());
    }
    body_ += reader_.takeBody();
    if (!takeRoom())
        return;
    const std::string* expect = isFirst ? findHeader(reader_.head(), "Expect") : nullptr;
    if (expect && equalsIgnoreCase(*expect, "100-continue") && !reader_.isComplete())
        link_->send("HTTP/1.1 100 Continue\r\n\r\n");
    if (reader_.isComplete())
        dispatch();
}

void FrontSession::updatePause()
{
    // What is sent ahead of an answer waits in the socket when room is short.
    bool sendsAhead = (reply_ || !input_.empty()) && shared_->isTight();
    bool lacksRoom = reserved_ == 0 && shared_->isFull();
    isPaused_
        = !isClosing_ && (waitingSince_ || sendsAhead || lacksRoom || input_.size() > maxPipelinedBytes);
    if (!isPaused_ || !lacksRoom)
        fullSince_.reset();
    else if (!fullSince_)
        fullSince_ = bootNow();
    link_->setMaxRead(maxRead());
    link_->pauseReading(isPaused_);
}

std::size_t FrontSession::maxRead() const
{
    bool hasRoomForBody = reserved_ > 0 && !reply_ && hasHead_ && !reader_.isComplete();
    if (!shared_->isTight() || isClosing_)
        return maxReadBytes;
    if (hasRoomForBody)
        return std::clamp(bodyRoom_ - std::min(bodyRoom_, body_.size()), narrowReadBytes, maxReadBytes);
    return narrowReadBytes;
}

// Bytes that the body of the request may come to, as far as its head and what has come tell.
std::size_t FrontSession::bodyToExpect() const
{
    if (reader_.isComplete())
        return body_.size();
    const std::string* length = findHeader(reader_.head(), "Content-Length");
    if (length)
        return std::stoull(*length); // The reader has checked it against the limit.
    std::size_t limit = shared_->limits_.message_.maxBodyBytes_;
    return body_.size() < smallBodyBytes ? std::min(smallBodyBytes, limit) : limit;
}

std::size_t FrontSession::missingBytes() const
{
    std::size_t cost = headCost_ + costOfRequest(0, 0, bodyToExpect());
    return cost - std::min(cost, reserved_);
}

// Reserves what the request will hold until its answer. Returns false if it has to wait for that.
bool FrontSession::takeRoom()
{
    std::size_t expected = bodyToExpect();
    if (reserved_ > 0 && expected <= bodyRoom_)
        return true;
    bool isLarge = expected > smallBodyBytes;
    bool isBehind = isLarge && !waitingSince_ && shared_->hasLargeWaiting();
    if (isBehind || !hasRoom(shared_->limits_.memory_, shared_->held_, missingBytes(), isLarge)) {
        if (!waitingSince_) {
            waitingSince_ = bootNow();
            shared_->report(FrontEvent::WaitsForRoom, 0);
            shared_->waiting_.push_back(weak_from_this());
        }
        return false;
    }
    waitingSince_.reset();
    roomSince_ = bootNow();
    reserved_ += missingBytes();
    bodyRoom_ = expected;
    isLarge_ = isLarge;
    if (!reader_.isComplete())
        body_.reserve(expected);
    account();
    if (expected > body_.size() + static_cast<std::size_t>(narrowBuffers.receive_))
        widenReceiveBuffer(shared_->limits_.memory_.forWideBuffers_);
    return true;
}

bool FrontSession::reserve(std::size_t bytes)
{
    bool isLarge = bytes > smallBodyBytes;
    if (!hasRoom(shared_->limits_.memory_, shared_->held_, bytes, isLarge))
        return false;
    reserved_ += bytes;
    isLarge_ = isLarge_ || isLarge;
    account();
    return true;
}

void FrontSession::release(std::size_t bytes)
{
    reserved_ -= std::min(bytes, reserved_);
    account();
    shared_->releaseRoom();
}

bool FrontSession::reserveForAnswer(std::size_t bytes)
{
    auto isThereRoom = [&] { return hasRoomForAnswer(shared_->limits_.memory_, shared_->held_, bytes); };
    if (!isThereRoom()) {
        shared_->closeUnread(bytes);
        if (!isThereRoom())
            return false;
    }
    answerBytes_ += bytes;
    account();
    return true;
}

void FrontSession::releaseAnswer(std::size_t bytes)
{
    answerBytes_ -= std::min(bytes, answerBytes_);
    account();
    shared_->releaseRoom();
}

void FrontSession::leaveRoom()
{
    reserved_ = 0;
    answerBytes_ = 0;
    bodyRoom_ = 0;
    isLarge_ = false;
    roomSince_.reset();
    waitingSince_.reset();
    account();
    shared_->releaseRoom();
}

// Brings the server's sum up to date.
void FrontSession::account()
{
    HeldMemory& held = shared_->held_;
    bool wasLarge = charged_ > 0 && wasChargedLarge_;
    held.total_ -= charged_;
    held.large_ -= wasLarge ? charged_ : 0;
    held.answers_ -= chargedForAnswer_;
    std::size_t received = input_.capacity() + 2 * headBytes_;
    if (reserved_ == 0)
        received += body_.capacity() + (hasHead_ ? headCost_ : 0);
    std::size_t own = connectionCost() + received + reserved_ + answerBytes_ + link_->queuedBytes();
    charged_ = isRegistered_ ? own : 0;
    chargedForAnswer_ = isRegistered_ ? answerBytes_ + link_->queuedBytes() : 0;
    wasChargedLarge_ = isLarge_;
    held.total_ += charged_;
    held.large_ += isLarge_ ? charged_ : 0;
    held.answers_ += chargedForAnswer_;
}

Holder FrontSession::holder() const
{
    Holder holder { HolderStage::Idle, charged_, lastActive_, {}, wasServed_,
        std::min(charged_, connectionCost()) };
    if (reply_)
        holder.stage_ = HolderStage::Running;
    else if (link_->queuedBytes() > 0)
        holder.stage_ = HolderStage::Unread;
    else if (!isIdle())
        holder.stage_ = HolderStage::Unfinished;
    if (holder.stage_ == HolderStage::Unfinished)
        holder.roomSince_ = roomSince_;
    return holder;
}

bool FrontSession::proceed()
{
    if (!waitingSince_ || !link_->isOpen())
        return true;
    if (!takeRoom())
        return false;
    lastActive_ = bootNow();
    if (reader_.isComplete())
        dispatch();
    else if (const std::string* expect = findHeader(reader_.head(), "Expect");
             expect && equalsIgnoreCase(*expect, "100-continue") && body_.empty())
        link_->send("HTTP/1.1 100 Continue\r\n\r\n");
    parse();
    return true;
}

void FrontSession::dispatch()
{
    reserved_ = headCost_ + costOfRequest(0, 0, body_.size());
    bodyRoom_ = body_.size();
    if (body_.size() < body_.capacity() / 2)
        body_.shrink_to_fit();
    isLarge_ = body_.size() > smallBodyBytes;
    FrontRequest request { reader_.head(), std::move(body_), headCompletedAt_ };
    body_ = {};
    reader_.next();
    hasHead_ = false;
    headStartedAt_.reset();
    auto reply = std::make_shared<FrontSessionReply>(shared_from_this(),
        request.head_.keepsAlive_ && request.head_.isHttp11_, request.head_.method_ == "HEAD");
    reply_ = reply;
    account();
    if (!request.head_.isHttp11_ || countHeader(request.head_, "Host") != 1) {
        const char* reason = "HTTP/1.1 with one Host header is required";
        shared_->onRejected_(400, reason, &request.head_);
        HttpHead head;
        head.status_ = 400;
        reply->answer(head, reason);
        return;
    }
    shared_->handler_(std::move(request), reply);
}

void FrontSession::reject(int status, const char* reason)
{
    shared_->onRejected_(status, reason, reader_.hasHead() ? &reader_.head() : nullptr);
    HttpHead head;
    head.status_ = status;
    head.headers_ = { { "Content-Length", std::to_string(std::string_view(reason).size()) },
        { "Connection", "close" } };
    if ((waitingSince_ || fullSince_ || isSurplus_) && status == serviceUnavailable)
        head.headers_.push_back({ "Retry-After", retryAfterNoRoom });
    link_->send(toText(head) + reason);
    isClosing_ = true;
    std::string().swap(input_);
    std::string().swap(body_);
    link_->pauseReading(false);
    link_->finishSending();
    leaveToClose(bootNow() + lingerTime);
}

void FrontSession::handleResponseSent(bool keepsAlive)
{
    reply_ = nullptr;
    wasServed_ = true;
    lastActive_ = bootNow();
    leaveRoom();
    if (!keepsAlive) {
        closeAfterFlush();
        return leaveToClose(std::nullopt);
    }
    settle();
}

void FrontSession::closeAfterFlush()
{
    isClosing_ = true;
    std::string().swap(input_);
    std::string().swap(body_);
    link_->pauseReading(false);
    link_->closeAfterFlush();
}

// The connection keeps its buffers until it is closed.
void FrontSession::leaveToClose(std::optional<MonotonicTime> lingersUntil)
{
    if (link_->isOpen())
        shared_->addClosing({ link_, lingersUntil, costOfConnection(buffers_),
            extraCostOf(std::exchange(buffers_, narrowBuffers)), std::exchange(isSurplus_, false) });
    unregister();
}

void FrontSession::close(bool isAborting)
{
    link_->close(isAborting);
    unregister();
}

void FrontSession::unregister()
{
    isRegistered_ = false;
    shared_->surplus_ -= std::exchange(isSurplus_, false) ? 1 : 0;
    shared_->wideBytes_ -= extraCostOf(std::exchange(buffers_, narrowBuffers));
    leaveRoom();
    shared_->sessions_.erase(shared_from_this());
}

void FrontSession::handleClose()
{
    auto self = shared_from_this();
    unregister();
    if (auto reply = std::move(reply_))
        reply->handleDisconnect();
}

void FrontSession::tick(MonotonicTime now)
{
    std::size_t unsent = link_->queuedBytes();
    if (unsent < std::exchange(unsentBefore_, unsent))
        lastActive_ = now;
    // The end of the connection is not read while reading is paused.
    if (isPaused_ && !link_->isPeerOpen()) {
        link_->close();
        return handleClose();
    }
    narrowSendBuffer();
    account();
    if (isPaused_)
        updatePause();
    bool isUnread = fullSince_ && now > *fullSince_ + maxRoomWait
        && (reader_.hasStarted() || link_->socketBytes().unread_ > 0);
    if (isUnread || (waitingSince_ && now > *waitingSince_ + maxRoomWait)) {
        shared_->report(FrontEvent::RefusedForRoom, 0);
        return reject(serviceUnavailable, noRoom);
    }
    const FrontLimits& limits = shared_->limits_;
    if (reply_ && shared_->isTight())
        updatePause();
    if (reply_ || waitingSince_ || fullSince_)
        return;
    if (!input_.empty())
        return parse(); // Of a caller that was behind with reading.
    if (headStartedAt_ && !hasHead_ && now > *headStartedAt_ + limits.headTimeout_)
        return reject(requestTimeout, "timed out waiting for the request head; send it without pauses");
    if (now <= lastActive_ + limits.idleTimeout_ + idleTimeoutMargin)
        return;
    if (isAwaitingTurn_ || link_->socketBytes().unread_ > 0)
        return; // It came while the VM was paused.
    if (hasHead_)
        return reject(requestTimeout, "timed out waiting for the request body; send it without pauses");
    close(false);
}

void FrontSession::shutDown()
{
    if (isIdle())
        return close(false);
    auto reply = std::move(reply_);
    if (reply && reply->hasBegun())
        close(true);
    else
        reject(serviceUnavailable, "this VM shuts down; send the request again");
    if (reply)
        reply->handleDisconnect();
}

} // namespace fescue
