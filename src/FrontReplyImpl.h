#pragma once

/** \file
 * FrontReplyImpl: the member functions of `FrontSessionReply`, for FrontServer.cpp only.
 */

#include "FrontSession.h"

namespace fescue {

void FrontSessionReply::answer(HttpHead head, std::string_view body)
{
    if (!session_)
        return;
    bool hasNoBody = head.status_ == 204 || head.status_ == 304;
    if (!hasNoBody && !(isHead_ && findHeader(head, "Content-Length")))
        head.headers_.push_back({ "Content-Length", std::to_string(body.size()) });
    addConnection(head);
    std::string text = toText(head);
    if (!isHead_ && !hasNoBody)
        text.append(body);
    session_->send(text);
    finish();
}

std::size_t FrontSessionReply::maxPendingBytes() const
{
    return session_ ? session_->maxUnreadBytes() : maxUnreadAnswerBytes;
}

void FrontSessionReply::begin(HttpHead head)
{
    if (!session_)
        return;
    head.headers_.push_back({ "Transfer-Encoding", "chunked" });
    addConnection(head);
    hasBegun_ = true;
    session_->send(toText(head));
}

void FrontSessionReply::write(std::string_view part)
{
    if (session_ && !part.empty())
        session_->send(toChunk(part));
}

void FrontSessionReply::end()
{
    if (!session_)
        return;
    session_->send("0\r\n\r\n");
    finish();
}

void FrontSessionReply::abort()
{
    if (!session_)
        return;
    onDisconnect_ = nullptr;
    auto session = std::move(session_);
    session->close(true);
}

void FrontSessionReply::handleDisconnect()
{
    session_ = nullptr;
    auto callback = std::move(onDisconnect_);
    onDisconnect_ = nullptr;
    if (callback)
        callback();
}

void FrontSessionReply::addConnection(HttpHead& head)
{
    keepsAlive_ = keepsAlive_ && !session_->isDraining();
    if (!keepsAlive_)
        head.headers_.push_back({ "Connection", "close" });
}

void FrontSessionReply::finish()
{
    onDisconnect_ = nullptr;
    auto session = std::move(session_);
    session->handleResponseSent(keepsAlive_);
}

} // namespace fescue
