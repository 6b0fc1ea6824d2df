#pragma once

/** \file
 * FrontRoomImpl: how the sessions of a server share its room: who waits, who is refused, and who is closed.
 * For FrontServer.cpp only.
 */

#include "BootClock.h"
#include "FrontSession.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace fescue {

namespace {

    std::size_t queuedBytesOf(const ClosingLink& closing)
    {
        auto link = closing.link_.lock();
        return link && link->isOpen() ? link->queuedBytes() : 0;
    }

    // For so long the order in which connections give way is taken as unchanged: to look through thousands of
    // them takes as long as to serve many requests.
    constexpr Milliseconds maxListAge { 10 };

    bool isLarge(const FrontSession& session)
    {
        return session.missingBytes() > costOfRequest(0, 0, smallBodyBytes);
    }

    // Whether a request may have come on an idle connection; to close it then would leave the request without
    // an answer.
    bool hasInput(FrontSession& session)
    {
        return session.isAwaitingTurn() || session.link().socketBytes().unread_ > 0;
    }

    template <typename HolderOf>
    std::vector<Holder> holdersOf(
        const std::vector<std::shared_ptr<FrontSession>>& sessions, const HolderOf& holderOf)
    {
        std::vector<Holder> holders;
        holders.reserve(sessions.size());
        for (const auto& session : sessions)
            holders.push_back(holderOf(*session));
        return holders;
    }

    std::vector<Holder> holdersOf(const std::vector<std::shared_ptr<FrontSession>>& sessions)
    {
        return holdersOf(sessions, [](const FrontSession& session) { return session.holder(); });
    }

} // namespace

bool FrontShared::hasUnsentBytes() const
{
    return std::any_of(sessions_.begin(), sessions_.end(),
               [](const auto& session) { return session->link().queuedBytes() > 0; })
        || std::any_of(closing_.begin(), closing_.end(),
            [](const ClosingLink& closing) { return queuedBytesOf(closing) > 0; });
}

SocketBytes FrontShared::socketBytes() const
{
    SocketBytes sum;
    for (const auto& session : sessions_)
        sum += session->link().socketBytes();
    for (const ClosingLink& closing : closing_) {
        if (auto link = closing.link_.lock())
            sum += link->socketBytes();
    }
    return sum;
}

void FrontShared::addClosing(ClosingLink closing)
{
    std::size_t bytes = closing.connectionBytes_ + queuedBytesOf(closing);
    closingBytes_ += bytes;
    held_.total_ += bytes;
    closing_.push_back(std::move(closing));
}

void FrontShared::dropClosed(MonotonicTime now)
{
    held_.total_ -= closingBytes_;
    closingBytes_ = 0;
    auto hasEnded = [&](const ClosingLink& closing) {
        auto link = closing.link_.lock();
        if (link && closing.lingersUntil_ && now > *closing.lingersUntil_)
            link->close(true);
        if (!link || !link->isOpen()) {
            wideBytes_ -= closing.wideBytes_;
            surplus_ -= closing.isSurplus_ ? 1 : 0;
            return true;
        }
        closingBytes_ += closing.connectionBytes_ + link->queuedBytes();
        return false;
    };
    closing_.erase(std::remove_if(closing_.begin(), closing_.end(), hasEnded), closing_.end());
    held_.total_ += closingBytes_;
}

void FrontShared::closeUnread(std::size_t bytes)
{
    // A caller that has not read its answer for less time than this gives way to none.
    MonotonicTime now = bootNow();
    if (now < closeUnreadAgainAt_)
        return;
    // Several at a time, since all connections are looked through.
    constexpr std::size_t partDivisor = 4;
    std::size_t missing = std::max(bytes, limits_.memory_.forAnswers_ / partDivisor);
    auto sessions = list();
    std::vector<Holder> holders = holdersOf(sessions);
    std::size_t freed = 0;
    for (std::size_t index : chooseLongestUnread(holders, missing)) {
        report(FrontEvent::ShedForMemory, holders[index].bytes_);
        freed += holders[index].bytes_;
        sessions[index]->close(true);
    }
    if (freed < missing) // None is left.
        closeUnreadAgainAt_ = now + maxListAge;
}

bool FrontShared::hasLargeWaiting() const
{
    return std::any_of(waiting_.begin(), waiting_.end(), [](const auto& weak) {
        auto session = weak.lock();
        return session && session->isWaiting() && isLarge(*session);
    });
}

bool FrontShared::isTight() const
{
    constexpr std::size_t tightDivisor = 2;
    return limits_.memory_.total_ > 0
        && sharedBytes(limits_.memory_, held_) > limits_.memory_.total_ / tightDivisor;
}

bool FrontShared::isFull() const
{
    return limits_.memory_.total_ > 0 && sharedBytes(limits_.memory_, held_) >= sharedTotal(limits_.memory_);
}

std::size_t FrontShared::excessBytes() const
{
    std::size_t taken = sharedBytes(limits_.memory_, held_);
    return taken - std::min(taken, sharedTotal(limits_.memory_));
}

void FrontShared::releaseRoom()
{
    if (waiting_.empty() || isServing_)
        return;
    isServing_ = true;
    asio::post(io_, [weak = weak_from_this()] {
        if (auto self = weak.lock()) {
            self->isServing_ = false;
            self->serveWaiting();
        }
    });
}

// In the order in which they came; a small request need not wait behind a large one.
void FrontShared::serveWaiting()
{
    auto waiting = std::move(waiting_);
    waiting_.clear();
    std::vector<std::weak_ptr<FrontSession>> still;
    bool isLargeBlocked = false;
    for (const auto& weak : waiting) {
        auto session = weak.lock();
        if (!session || !session->isWaiting())
            continue;
        bool needsMuch = isLarge(*session);
        if ((needsMuch && isLargeBlocked) || !session->proceed()) {
            isLargeBlocked = isLargeBlocked || needsMuch;
            still.push_back(weak);
        }
    }
    waiting_.insert(waiting_.begin(), still.begin(), still.end());
}

void FrontShared::reclaim(MonotonicTime now)
{
    if (limits_.memory_.total_ == 0)
        return;
    if (!waiting_.empty())
        closeStalled(now);
    if (excessBytes() > 0)
        shed(now);
    serveWaiting();
}

void FrontShared::closeStalled(MonotonicTime now)
{
    std::size_t missing = 0;
    for (const auto& weak : waiting_) {
        auto session = weak.lock();
        missing += session && session->isWaiting() ? session->missingBytes() : 0;
    }
    auto sessions = list();
    std::vector<Holder> holders = holdersOf(sessions);
    for (std::size_t i = 0; i < sessions.size(); ++i) {
        if (sessions[i]->isWaiting())
            holders[i].stage_ = HolderStage::Running; // It is this VM that does not read.
    }
    for (std::size_t index : chooseStalled(holders, missing, now)) {
        report(FrontEvent::Stalled, holders[index].bytes_);
        sessions[index]->reject(
            requestTimeout, "timed out waiting for the request while others wait; send it without pauses");
    }
    for (std::size_t index : chooseUnread(holders, missing, now)) {
        report(FrontEvent::ShedForMemory, holders[index].bytes_);
        sessions[index]->close(true);
    }
}

void FrontShared::shed(MonotonicTime now)
{
    auto sessions = list();
    std::vector<Holder> holders = holdersOf(sessions);
    for (Holder& holder : holders) {
        if (isNew(holder, now))
            holder.stage_ = HolderStage::Running; // As far as this VM knows.
    }
    for (std::size_t index : chooseForMemory(holders, excessBytes())) {
        if (holders[index].stage_ == HolderStage::Idle && hasInput(*sessions[index]))
            continue;
        report(FrontEvent::ShedForMemory, holders[index].bytes_);
        if (sessions[index]->isWaiting())
            sessions[index]->reject(serviceUnavailable, noRoom);
        else
            sessions[index]->close(true);
    }
    // Callers of answers that ended their connections, and that nobody reads.
    for (const ClosingLink& closing : closing_) {
        std::size_t bytes = queuedBytesOf(closing);
        if (excessBytes() == 0)
            return;
        if (bytes == 0)
            continue;
        report(FrontEvent::ShedForMemory, bytes);
        closing.link_.lock()->close(true);
        std::size_t freed = std::min(bytes + closing.connectionBytes_, closingBytes_);
        held_.total_ -= freed;
        closingBytes_ -= freed;
    }
}

bool FrontShared::closeLingering(bool isSurplus, MonotonicTime now)
{
    auto lingering = std::find_if(closing_.begin(), closing_.end(), [isSurplus](const ClosingLink& closing) {
        return closing.isSurplus_ == isSurplus && closing.lingersUntil_ && queuedBytesOf(closing) == 0;
    });
    if (lingering == closing_.end())
        return false;
    if (auto link = lingering->link_.lock())
        link->close(true);
    dropClosed(now);
    return true;
}

bool FrontShared::displaceSurplus(MonotonicTime now)
{
    if (closeLingering(true, now))
        return true;
    auto silent = std::find_if(surplusSessions_.begin(), surplusSessions_.end(), [](const auto& weak) {
        auto session = weak.lock();
        return session && session->isSurplus() && !hasInput(*session);
    });
    if (silent == surplusSessions_.end())
        return false;
    auto session = silent->lock();
    report(FrontEvent::DisplacedByConnection, session->holder().bytes_);
    session->close(false);
    return true;
}

void FrontShared::addSurplus(const std::shared_ptr<FrontSession>& session)
{
    auto isRefused = [](const auto& weak) {
        auto known = weak.lock();
        return !known || !known->isSurplus();
    };
    surplusSessions_.erase(
        std::remove_if(surplusSessions_.begin(), surplusSessions_.end(), isRefused), surplusSessions_.end());
    surplusSessions_.push_back(session);
    session->refuseNext();
}

bool FrontShared::displaceOne(MonotonicTime now)
{
    if (closeLingering(false, now))
        return true;
    // After a pause of the VM there is input on most of them.
    constexpr int maxChecks = 8;
    int checks = 0;
    bool isListed = false;
    while (checks < maxChecks) {
        if (displaceable_.empty() || now > displaceableSince_ + maxListAge) {
            if (std::exchange(isListed, true))
                return false;
            listDisplaceable(now);
            continue;
        }
        Displaceable next = std::move(displaceable_.front());
        displaceable_.pop_front();
        auto session = next.session_.lock();
        if (!session || sessions_.count(session) == 0)
            continue;
        Holder holder = displaceableHolder(*session);
        bool isUnchanged = holder.stage_ == next.stage_ && holder.lastProgress_ == next.lastProgress_;
        if (!isUnchanged)
            continue;
        if (!limits_.displacesBusy_ && holder.stage_ == HolderStage::Idle && hasInput(*session)) {
            ++checks;
            continue;
        }
        report(FrontEvent::DisplacedByConnection, holder.bytes_);
        if (session->isWaiting() && (surplus_ < surplusConnections || displaceSurplus(now))) {
            session->refuseNext(); // It leaves its place now, and goes on until it has the refusal.
            session->reject(serviceUnavailable, noRoom);
        } else
            session->close(false);
        return true;
    }
    return false;
}

Holder FrontShared::displaceableHolder(const FrontSession& session) const
{
    Holder holder = session.holder();
    if (session.isBeforeFirstTurn() || session.isSurplus())
        holder.stage_ = HolderStage::Running; // As far as this VM knows.
    else if (limits_.displacesBusy_ && holder.stage_ == HolderStage::Unread)
        holder.stage_ = HolderStage::Idle;
    return holder;
}

void FrontShared::listDisplaceable(MonotonicTime now)
{
    auto sessions = list();
    std::vector<Holder> holders
        = holdersOf(sessions, [this](const FrontSession& session) { return displaceableHolder(session); });
    displaceable_.clear();
    displaceableSince_ = now;
    for (std::size_t index : orderForDescriptors(holders, now))
        displaceable_.push_back({ sessions[index], holders[index].stage_, holders[index].lastProgress_ });
}

} // namespace fescue
