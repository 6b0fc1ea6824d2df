#pragma once

/** \file
 * ProcessWitness: tells whether the process behind a connection that was closed in order still runs.
 *
 * An answer without a length or chunks ends with its connection. The operating system closes the connections
 * of a process that ends in order, too, so the close alone does not show that the answer is whole. But a
 * process that has ended keeps no connection at all:
 *
 *     answer under way --> a connection that does not end with an answer is kept open as a witness
 *     its connection is closed --> settle time --> a connection from before the close is still open: it runs
 *                                              --> the peer has closed one just now: it has ended
 *                                              --> neither: a new connection shows whether a process is there
 *
 * A process that has started again at the address has no connection from before the close.
 */

#include "OutboundPool.h"

#include <functional>
#include <map>
#include <memory>

namespace fescue {

/** What is known of the process behind a closed connection. */
struct ProcessSigns {
    bool isRunning_ = false; ///< False in doubt.
    std::size_t connections_ = 0; ///< Open ones that show it.
    bool wasConnectionOpened_ = false; ///< None from before the close was left, so a new one was tried.
};

/** Judges processes by the connections of a pool. Confined to the thread of the event loop. */
class ProcessWitness {
public:
    /** Precondition: `pool` outlives the witness and all callbacks of `io`. */
    ProcessWitness(asio::io_context& io, OutboundPool& pool);

    /** Opens a connection to the peer unless there is one that does not end with an answer. To be called when
     * an answer begins that ends with its connection, and periodically until it has ended. */
    void prepare(const asio::ip::tcp::endpoint& peer);
    /** To be called when the peer has closed a connection. `done` is called once, possibly before this
     * returns, with what the other connections say of the process that had it. */
    void judge(const asio::ip::tcp::endpoint& peer, std::function<void(const ProcessSigns&)> done);

private:
    struct Judgement;
    using JudgementPtr = std::shared_ptr<Judgement>;

    void judgeByKnownConnections(const JudgementPtr& judgement);
    void judgeByNewConnection(const JudgementPtr& judgement);
    void afterSettling(std::function<void()> action);

    asio::io_context& io_;
    OutboundPool& pool_;
    std::map<asio::ip::tcp::endpoint, MonotonicTime> retryAt_; ///< When the next witness may be opened.
};

} // namespace fescue
