#pragma once

/** \file
 * ProcessWitness: tells whether the process behind a connection that was closed in order still runs.
 *
 * An answer without a length or chunks ends with its connection. The operating system closes the connections
 * of a process that ends in order, too, so the close alone does not show that the answer is whole. But a
 * process that has ended keeps no connection at all:
 *
 *     answer begins --> another connection to the target is open, or one is opened as a witness
 *     its connection is closed --> settle time --> a connection from before the close is still open: it runs
 *                                              --> none is: it has ended, or nobody knows
 *
 * A process that has started again at the address has no connection from before the close.
 */

#include "OutboundPool.h"

#include <functional>

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

    /** Opens a connection to the peer unless there is one besides that of the answer which has just begun. */
    void prepare(const asio::ip::tcp::endpoint& peer);
    /** To be called when the peer has closed a connection. `done` is called once, later, with what the other
     * connections say of the process that had it. */
    void judge(const asio::ip::tcp::endpoint& peer, std::function<void(const ProcessSigns&)> done);

private:
    void judgeAfterSettling(const asio::ip::tcp::endpoint& peer, MonotonicTime openedBefore,
        bool wasConnectionOpened, std::function<void(const ProcessSigns&)> done);

    asio::io_context& io_;
    OutboundPool& pool_;
};

} // namespace fescue
