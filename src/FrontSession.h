#pragma once

/** \file
 * FrontSession: one caller's connection and what it makes the VM hold, for `FrontServer`'s source files only.
 * Confined to the thread of the event loop.
 */

#include "FrontServer.h"
#include "MemoryBudget.h"
#include "TcpLink.h"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace fescue {

/** Answer to a complete or unfinished request that gives way to others. */
constexpr int serviceUnavailable = 503;
constexpr int requestTimeout = 408;
/** What a caller may have of an answer to read while room is short. */
constexpr std::size_t narrowAnswerBytes = 16 * 1024;
/** Connections beyond the limit whose callers are told to come back. */
constexpr std::size_t surplusConnections = 64;
constexpr const char* noRoom = "this VM has no room for the request; send it again";

class FrontSession;

/** A connection that closes once all bytes are sent. */
struct ClosingLink {
    std::weak_ptr<TcpLink> link_;
    /** Until then what its caller still sends is read, so that it receives the answer; nothing for one that
     * closes itself. */
    std::optional<MonotonicTime> lingersUntil_;
    std::size_t connectionBytes_ = 0; ///< As in `Holder`.
    std::size_t wideBytes_ = 0; ///< Of these, what wide buffers take.
    bool isSurplus_ = false; ///< It is beyond the limit.
};

/** A connection that may give way to a new one, as long as it makes no progress. */
struct Displaceable {
    std::weak_ptr<FrontSession> session_;
    HolderStage stage_ = HolderStage::Idle;
    MonotonicTime lastProgress_;
};

/** State that the sessions of a server share. */
struct FrontShared : std::enable_shared_from_this<FrontShared> {
    explicit FrontShared(asio::io_context& io)
        : io_(io)
    {
    }

    asio::io_context& io_;
    FrontHandler handler_;
    FrontRejectionHandler onRejected_;
    FrontLimits limits_;
    std::set<std::shared_ptr<FrontSession>> sessions_;
    std::vector<std::weak_ptr<FrontSession>> waiting_; ///< For room, in the order in which they came.
    std::vector<ClosingLink> closing_;
    HeldMemory held_;
    std::size_t closingBytes_ = 0; ///< Of the held memory, those of closing connections.
    std::size_t wideBytes_ = 0; ///< Of the held memory, wide buffers of sockets.
    bool isDraining_ = false;
    bool isServing_ = false; ///< `serveWaiting` is due.
    std::function<void(FrontEvent, std::size_t)> onEvent_;
    std::deque<std::weak_ptr<FrontSession>> awaitingFirstTurn_; ///< Sessions whose request may have come.
    std::deque<std::weak_ptr<FrontSession>> awaitingTurn_; ///< Sessions with something to read or to parse.
    bool isTurnDue_ = false; ///< `runTurns` is due.
    std::deque<std::weak_ptr<FrontSession>> awaitingRefusal_; ///< The same of those beyond the limit.
    std::size_t surplus_ = 0; ///< Connections beyond the limit, whose requests are refused.
    std::deque<std::weak_ptr<FrontSession>> surplusSessions_; ///< Those not refused yet, the oldest first.
    std::deque<Displaceable> displaceable_; ///< The first one gives way first.
    MonotonicTime displaceableSince_; ///< When they were listed.
    MonotonicTime closeUnreadAgainAt_; ///< Until then no caller has left an answer unread for long.

    void report(FrontEvent event, std::size_t bytes) const
    {
        if (onEvent_)
            onEvent_(event, bytes);
    }
    bool hasUnsentBytes() const;
    void addClosing(ClosingLink closing);
    /** Whether callers hold so much that they may not send ahead. */
    bool isTight() const;
    /** Whether callers hold so much that only requests with room are read. */
    bool isFull() const;
    /** Bytes that callers hold beyond the budget. */
    std::size_t excessBytes() const;
    /** Closes connections whose callers do not read a complete answer, those longest without progress first,
     * so that `bytes` of an answer get room. When it has found too few, it looks again some time later. */
    void closeUnread(std::size_t bytes);
    /** Gives room to those who wait, soon. */
    void releaseRoom();
    void serveWaiting();
    /** Ends what keeps others waiting, and what exceeds the budget. */
    void reclaim(MonotonicTime now);
    /** Closes a connection so that the request of another can be served; returns whether one could be closed.
     * Those beyond the limit have no part in it. */
    bool displaceOne(MonotonicTime now);
    /** The same so that the request of another can be refused. */
    bool displaceSurplus(MonotonicTime now);
    /** Adds a session whose request is refused. */
    void addSurplus(const std::shared_ptr<FrontSession>& session);
    /** Forgets closing connections that have ended, and ends those that have lingered for long enough. */
    void dropClosed(MonotonicTime now);
    bool hasLargeWaiting() const;
    SocketBytes socketBytes() const;
    /** Connections that exist or close soon, without those beyond the limit. */
    std::size_t servedConnections() const { return sessions_.size() + closing_.size() - surplus_; }

    /** Lets a session take its turn after those that wait already; a new session after other new ones. */
    void awaitTurn(const std::shared_ptr<FrontSession>& session);

private:
    void runTurns();
    void scheduleTurns();
    void takeNext(std::deque<std::weak_ptr<FrontSession>>& sessions);
    std::vector<std::shared_ptr<FrontSession>> list() const { return { sessions_.begin(), sessions_.end() }; }
    /** Closes a connection whose caller has been refused and may still send; returns whether there was one.
     */
    bool closeLingering(bool isSurplus, MonotonicTime now);
    /** A session as `displaceOne` sees it. */
    Holder displaceableHolder(const FrontSession& session) const;
    void listDisplaceable(MonotonicTime now);
    void closeStalled(MonotonicTime now);
    void shed(MonotonicTime now);
};

class FrontSessionReply;

/** The connection of one caller. */
class FrontSession : public std::enable_shared_from_this<FrontSession> {
public:
    FrontSession(std::shared_ptr<TcpLink> link, std::shared_ptr<FrontShared> shared);

    void start();
    /** Refuses the request that comes. */
    void refuseNext();
    bool isSurplus() const { return isSurplus_; }
    /** Sends a part of an answer. */
    void send(std::string_view data);
    /** Reads from the connection, or goes on with what was read, as far as one request. */
    void takeTurn();
    void tick(MonotonicTime now);
    bool isIdle() const { return !reply_ && !reader_.hasStarted() && input_.empty(); }
    void shutDown();
    void close(bool isAborting);
    TcpLink& link() { return *link_; }
    bool isDraining() const { return shared_->isDraining_; }
    /** Beyond so many bytes that its caller has not read, nothing more is sent or started for it. */
    std::size_t maxUnreadBytes() const
    {
        return shared_->isTight() ? narrowAnswerBytes : maxUnreadAnswerBytes;
    }
    void handleResponseSent(bool keepsAlive);
    /** What the connection does and holds. */
    Holder holder() const;
    /** Whether it has something to read or to parse, as far as the event loop has told. */
    bool isAwaitingTurn() const { return isAwaitingTurn_; }
    bool isWaiting() const { return waitingSince_.has_value(); }
    /** Whether it has not had a turn, so that a request may have come unnoticed. */
    bool isBeforeFirstTurn() const { return isBeforeFirstTurn_; }
    /** Bytes that it waits for. */
    std::size_t missingBytes() const;
    /** Goes on if there is room now. Returns whether there is. */
    bool proceed();
    /** Takes more room for the request in flight. Returns whether there is. */
    bool reserve(std::size_t bytes);
    void release(std::size_t bytes);
    /** The same for an answer that is buffered until it is complete. */
    bool reserveForAnswer(std::size_t bytes);
    void releaseAnswer(std::size_t bytes);
    /** Refuses the request, which has certainly not run, and closes the connection. */
    void reject(int status, const char* reason);

private:
    void awaitTurn();
    void parseRequest();
    void handleData(std::string_view data);
    void parse();
    void settle();
    bool takeRoom();
    void leaveRoom();
    bool setBuffers(const SocketBuffers& buffers, std::size_t maxWideBytes);
    void widenReceiveBuffer(std::size_t maxWideBytes);
    void narrowSendBuffer();
    std::size_t connectionCost() const;
    void account();
    std::size_t bodyToExpect() const;
    void dispatch();
    void handleClose();
    void closeAfterFlush();
    void leaveToClose(std::optional<MonotonicTime> lingersUntil);
    void updatePause();
    std::size_t maxRead() const;
    bool canParse() const;
    void unregister();

    std::shared_ptr<TcpLink> link_;
    std::shared_ptr<FrontShared> shared_;
    HttpReader reader_;
    std::string input_; ///< Received and not parsed yet.
    std::string body_;
    std::shared_ptr<FrontSessionReply> reply_; ///< Of the request in flight.
    MonotonicTime lastActive_;
    std::optional<MonotonicTime> headStartedAt_;
    MonotonicTime headCompletedAt_;
    std::optional<MonotonicTime> waitingSince_; ///< For room.
    std::optional<MonotonicTime> fullSince_; ///< It is not read, since others hold too much.
    std::optional<MonotonicTime> roomSince_;
    std::size_t headCost_ = 0; ///< Of a request without a body.
    std::size_t bodyRoom_ = 0; ///< Bytes of a body that the session has room for.
    std::size_t reserved_ = 0; ///< For the request that is read or in flight.
    std::size_t answerBytes_ = 0; ///< Reserved for an answer that is not complete.
    std::size_t charged_ = 0; ///< Its part of the held memory.
    std::size_t chargedForAnswer_ = 0; ///< Of these, those for an answer that is kept whole.
    std::size_t headBytes_ = 0; ///< Of an unfinished head.
    bool isLarge_ = false; ///< The reservation is that of a large body.
    bool wasChargedLarge_ = false;
    bool wasServed_ = false;
    bool hasHead_ = false;
    bool isParsing_ = false;
    bool isPaused_ = false; ///< Reading is paused.
    bool isClosing_ = false; ///< What comes is not answered; the connection closes once all is sent.
    bool isRegistered_ = true;
    std::size_t unsentBefore_ = 0; ///< Queued for the caller at the last tick.
    SocketBuffers buffers_ = narrowBuffers;
    bool isSurplus_ = false; ///< Its request is refused, since there is no room for another connection.
    bool isAwaitingTurn_ = false;
    bool isBeforeFirstTurn_ = true;
};

/** The reply to a session's request. */
class FrontSessionReply final : public FrontReply {
public:
    FrontSessionReply(std::shared_ptr<FrontSession> session, bool keepsAlive, bool isHead)
        : session_(std::move(session))
        , keepsAlive_(keepsAlive)
        , isHead_(isHead)
    {
    }

    void answer(HttpHead head, std::string_view body) override;
    void begin(HttpHead head) override;
    void write(std::string_view part) override;
    void end() override;
    void abort() override;
    std::size_t pendingBytes() const override { return session_ ? session_->link().queuedBytes() : 0; }
    std::size_t maxPendingBytes() const override;
    bool reserve(std::size_t bytes) override { return !session_ || session_->reserve(bytes); }
    bool reserveForAnswer(std::size_t bytes) override
    {
        return !session_ || session_->reserveForAnswer(bytes);
    }
    void releaseAnswer(std::size_t bytes) override
    {
        if (session_)
            session_->releaseAnswer(bytes);
    }
    void release(std::size_t bytes) override
    {
        if (session_)
            session_->release(bytes);
    }
    void onDisconnect(std::function<void()> callback) override { onDisconnect_ = std::move(callback); }
    bool hasBegun() const { return hasBegun_; }
    void handleDisconnect();

private:
    void addConnection(HttpHead& head);
    void finish();

    std::shared_ptr<FrontSession> session_;
    bool keepsAlive_;
    bool isHead_;
    bool hasBegun_ = false;
    std::function<void()> onDisconnect_;
};

} // namespace fescue
