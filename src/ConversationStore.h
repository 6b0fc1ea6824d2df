#pragma once

/** \file
 * ConversationStore: keeps the text of turns, and finds it again at any VM.
 *
 *     a turn is answered --> platform's store, through a peer if need be --> its end may be passed on
 *                                   then a copy --> directory VM of the program
 *     its next turn comes --> own memory --> directory VM --> platform's store --> store, through a peer
 *
 * Only the platform's store outlives the VMs, so a turn counts as kept once the store has acknowledged it.
 * Memory saves reads of the store. The directory VM of a program is the first in a ranking of all VMs, so all
 * VMs agree on it while they see the same VMs; where they do not, the store has the turn.
 */

#include "ConversationMessages.h"
#include "PacedStore.h"
#include "PeerExchange.h"

#include <functional>
#include <memory>

namespace fescue {

/** Settings of a `ConversationStore`. */
struct ConversationOptions {
    VmId vm_;
    ZoneId zone_;
    WriterId writer_;
    std::uint32_t partitions_ = 1; ///< Of each topic of the store.
    std::size_t cacheBytes_ = 0;
    std::size_t maxRecordBytes_ = 0; ///< Of a record of the store.
};

/** A turn whose text is sought. */
struct ChainSearch {
    AttemptId turn_;
    AttemptId request_; ///< The request that continues from it.
    ProgramId program_; ///< Of that request.
    MonotonicTime deadline_;
};

/** A turn that was answered, to be kept. */
struct AnsweredTurn {
    KeptTurnPtr turn_;
    TurnChain ancestors_;
    ProgramId program_;
    Milliseconds retention_ { 0 };
    MonotonicTime deadline_; ///< Until when its end can be passed on.
};

/** Keeps and finds turns. Confined to the thread of the event loop. */
class ConversationStore {
public:
    using OnFound = std::function<void(const ChainReply&)>;
    using OnKept = std::function<void(bool isKept)>;

    /** Precondition: the arguments outlive this object, and `exchange` serves no call after it. */
    ConversationStore(
        asio::io_context& io, PacedStore& store, PeerExchange& exchange, const ConversationOptions& options);
    ~ConversationStore();

    /** Finds a turn and its ancestors. `done` is called once, by about the deadline and possibly before this
     * returns. */
    void find(const ChainSearch& search, OnFound done);
    /** Keeps a turn, and its ancestors for as long. `done` is called once, by about the deadline and possibly
     * before this returns; `isKept` means that the platform's store has acknowledged all of them. */
    void keep(const AnsweredTurn& answered, OnKept done);
    /** Whether a turn with so many bytes of input can be kept. Pure. */
    bool canKeep(std::size_t inputBytes) const;
    /** The most bytes of an output that one record may hold. */
    std::size_t maxOutputBytes() const;
    /** Ends calls that time out. To be called periodically. */
    void tick(bool isDraining, MonotonicTime now);
    /** Whether no turn waits to be written. */
    bool isIdle() const;
    std::size_t cachedTurns() const;
    std::size_t cachedBytes() const;
    /** Records in the platform's store that this VM is to delete. */
    std::size_t records() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
