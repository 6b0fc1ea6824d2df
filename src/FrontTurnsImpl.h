#pragma once

/** \file
 * FrontTurnsImpl: how the sessions of a server share the event loop. For FrontServer.cpp only.
 *
 * Callers that send one request after another are always readable, and thousands of them would keep the event
 * loop from targets, other VMs, the store and the platform's readiness checks. So a readable session waits
 * for its turn, in which it is read once and starts one request at most, and all sessions together use a
 * slice of time before everything else that is due runs. New sessions, those that are only refused and
 * the others alternate, so that neither a crowd that connects nor one that stays keeps the others from their
 * turns.
 */

#include "BootClock.h"
#include "FrontSession.h"

#include <asio/post.hpp>

namespace fescue {

void FrontShared::awaitTurn(const std::shared_ptr<FrontSession>& session)
{
    auto& others = session->isSurplus() ? awaitingRefusal_ : awaitingTurn_;
    (session->isBeforeFirstTurn() ? awaitingFirstTurn_ : others).push_back(session);
    if (!isTurnDue_)
        scheduleTurns();
}

void FrontShared::scheduleTurns()
{
    isTurnDue_ = true;
    asio::post(io_, [self = shared_from_this()] { self->runTurns(); });
}

void FrontShared::takeNext(std::deque<std::weak_ptr<FrontSession>>& sessions)
{
    if (sessions.empty())
        return;
    auto session = sessions.front().lock();
    sessions.pop_front();
    if (session)
        session->takeTurn();
}

void FrontShared::runTurns()
{
    constexpr Milliseconds slice { 2 };
    MonotonicTime end = bootNow() + slice;
    auto isAnyWaiting = [this] {
        return !awaitingFirstTurn_.empty() || !awaitingRefusal_.empty() || !awaitingTurn_.empty();
    };
    while (isAnyWaiting() && bootNow() < end) {
        takeNext(awaitingFirstTurn_);
        takeNext(awaitingRefusal_);
        takeNext(awaitingTurn_);
    }
    isTurnDue_ = false;
    if (isAnyWaiting())
        scheduleTurns();
}

void FrontSession::awaitTurn()
{
    if (!std::exchange(isAwaitingTurn_, true))
        shared_->awaitTurn(shared_from_this());
}

void FrontSession::takeTurn()
{
    auto self = shared_from_this();
    isAwaitingTurn_ = false;
    isBeforeFirstTurn_ = false;
    if (canParse())
        parse();
    else
        link_->readNow();
}

} // namespace fescue
