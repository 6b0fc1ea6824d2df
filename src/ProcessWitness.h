#pragma once

/** \file
 * ProcessWitness: tells whether the process behind a connection that was closed in order still runs.
 *
 * An answer without a length or chunks ends with its connection. The operating system closes the connections
 * of a process that ends in order, too, so the close alone does not show that the answer is whole. But a
 * process that has ended keeps no connection at all:
 *
 *     answer under way --> a connection that does not end with an answer is kept open as a witness
 *     its connection is closed --> settle time --> a witness is still open: the process runs
 *                                              --> none is: it has ended
 *
 * Only a connection that was opened while that of the answer was open is a witness; a process that has
 * started again at the address accepts new ones. The first short answer of a target may end before there is a
 * witness; a new connection is believed then.
 */

#include "OutboundPool.h"

#include <functional>
#include <map>
#include <memory>

namespace fescue {

/** An answer whose connection the peer has closed. */
struct ClosedAnswer {
    asio::ip::tcp::endpoint peer_;
    MonotonicTime requestedAt_;
    MonotonicTime openAt_; ///< When its connection was last known to be open.
};

/** What is known of the process behind a closed connection. */
struct ProcessSigns {
    bool isRunning_ = false; ///< False in doubt.
    std::size_t connections_ = 0; ///< Open ones that show it.
    bool wasConnectionOpened_ = false; ///< There was no witness, so a new one was tried.
};

/** Judges processes by the connections of a pool. Confined to the thread of the event loop. */
class ProcessWitness {
public:
    /** Precondition: `pool` outlives the witness and all callbacks of `io`. */
    ProcessWitness(asio::io_context& io, OutboundPool& pool);

    /** To be called when an answer begins that ends with its connection. From then on, and for some time, a
     * connection to the peer is kept open that does not. */
    void prepare(const asio::ip::tcp::endpoint& peer);
    /** `done` is called once, possibly before this returns, with what other connections say of the process
     * that sent the answer. */
    void judge(const ClosedAnswer& answer, std::function<void(const ProcessSigns&)> done);
    /** Opens witnesses in place of those that have been closed. To be called periodically. */
    void tick(MonotonicTime now);

private:
    // A peer whose answers end with their connections.
    struct Watch {
        MonotonicTime endsAt_;
        MonotonicTime nextAttemptAt_; ///< Of opening a witness.
    };
    struct Judgement;
    using JudgementPtr = std::shared_ptr<Judgement>;

    void judgeByKnownConnections(const JudgementPtr& judgement);
    void judgeByNewConnection(const JudgementPtr& judgement);
    void keepWitness(const asio::ip::tcp::endpoint& peer, Watch& watch, MonotonicTime now);
    void afterSettling(std::function<void()> action);

    asio::io_context& io_;
    OutboundPool& pool_;
    std::map<asio::ip::tcp::endpoint, Watch> watches_;
};

} // namespace fescue
