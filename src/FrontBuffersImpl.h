#pragma once

/** \file
 * FrontBuffersImpl: which buffers the socket of a session has, and what they count. For FrontServer.cpp only.
 */

#include "FrontSession.h"

namespace fescue {

// Returns false if there is no room for them.
bool FrontSession::setBuffers(const SocketBuffers& buffers, std::size_t maxWideBytes)
{
    std::size_t wideBytes = shared_->wideBytes_ + extraCostOf(buffers) - extraCostOf(buffers_);
    bool isLimited = shared_->limits_.memory_.total_ > 0;
    if (isLimited && wideBytes > shared_->wideBytes_ && wideBytes > maxWideBytes)
        return false;
    shared_->wideBytes_ = wideBytes;
    buffers_ = buffers;
    link_->setBuffers(buffers);
    account();
    return true;
}

// The window that a caller was told can't be taken back, so the buffer stays wide.
void FrontSession::widenReceiveBuffer(std::size_t maxWideBytes)
{
    if (buffers_.receive_ < wideBuffers.receive_)
        setBuffers({ wideBuffers.receive_, buffers_.send_ }, maxWideBytes);
}

void FrontSession::send(std::string_view data)
{
    link_->send(data);
    if (link_->queuedBytes() > 0 && buffers_.send_ < wideBuffers.send_)
        setBuffers({ buffers_.receive_, wideBuffers.send_ }, shared_->limits_.memory_.forWideBuffers_);
}

// Once all that was sent has arrived.
void FrontSession::narrowSendBuffer()
{
    if (buffers_.send_ > narrowBuffers.send_ && link_->queuedBytes() == 0
        && link_->socketBytes().unsent_ == 0)
        setBuffers({ buffers_.receive_, narrowBuffers.send_ }, 0);
}

// The send buffer counts while there is an answer, so that idle callers leave room for large requests.
std::size_t FrontSession::connectionCost() const
{
    SocketBuffers used = buffers_;
    if (!reply_ && link_->queuedBytes() == 0 && used.send_ == narrowBuffers.send_)
        used.send_ = 0;
    return costOfConnection(used);
}

} // namespace fescue
