#pragma once

/** \file
 * TurnBroker: requests tokens for turns from the VM that can grant them, and grants turns of other VMs.
 *
 *     turn --> home of its program, this VM or a peer
 *                | no answer: the next home, finally this VM
 *                | tokens held elsewhere: the peers that hold them
 *
 * The choice of the VM affects only latency and the number of claims per program; `BudgetEscrow` enforces the
 * budget.
 */

#include "BudgetStore.h"
#include "PeerExchange.h"
#include "PeerTurns.h"

#include <functional>
#include <memory>

namespace fescue {

/** The decision on a turn and the VM that made it. */
struct TurnGrant {
    TurnReply reply_;
    VmId granter_;
    ProgramId program_;
    TokenCount maxTokens_;
};

/** The VM of a broker. */
struct TurnBrokerOptions {
    VmId vm_;
    ZoneId zone_;
    WriterId writer_;
    std::uint32_t partitions_ = 1; ///< Per topic of the store.
};

/** Decides on turns. Not thread-safe; to be used on the thread of the event loop only. */
class TurnBroker {
public:
    using OnGrant = std::function<void(const TurnGrant&)>;

    /** Precondition: `exchange` and `store` outlive the broker, and `exchange` serves no call after it. */
    TurnBroker(PeerExchange& exchange, PacedStore& store, const TurnBrokerOptions& options);
    ~TurnBroker();

    /** Requests tokens. `done` is called at most once, possibly before this returns. */
    TurnId requestTurn(const TurnRequest& request, OnGrant done);
    /** Describes what a waiting turn waits for, for logs. */
    std::string describe(TurnId turn) const;
    /** Cancels a waiting turn, whose caller has disconnected. */
    void abandonTurn(TurnId turn);
    /** Reports the end of a granted turn; `target` ran it, empty if it was not sent to any. */
    void endTurn(const TurnGrant& grant, TokenCount used, const TargetId& target);
    /** Runs periodic work; to be called at regular intervals. */
    void tick(bool isDraining, MonotonicTime now);
    /** Whether no budget write is in flight or queued. */
    bool isIdle() const;
    std::size_t programs() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
