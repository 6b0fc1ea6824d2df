#pragma once

/** \file
 * TurnBroker: finds the VM that can grant a turn its tokens, and grants turns of other VMs.
 *
 *     turn --> home of its program, this VM or a peer
 *                | does not answer: the next home, at last this VM
 *                | tokens held elsewhere: the peers that hold them
 *
 * Whom a turn is asked at decides only speed and how many claims a program has; `BudgetEscrow` keeps the
 * budget.
 */

#include "BudgetKeeper.h"
#include "PeerList.h"
#include "PeerTurns.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace fescue {

/** Tokens for one turn, and who gave them. */
struct TurnGrant {
    TurnReply reply_;
    VmId granter_;
    ProgramId program_;
    TokenCount most_;
};

/** What a broker needs to know of its VM. */
struct TurnBrokerOptions {
    VmId vm_;
    ZoneId zone_;
    WriterId writer_;
    std::uint32_t partitions_ = 1; ///< Of a topic of the store.
    std::string address_; ///< `ip:port` for peers; empty for none.
};

/** Grants turns. Belongs to the thread of the event loop. */
class TurnBroker {
public:
    using OnGrant = std::function<void(const TurnGrant&)>;

    /** Binds the address for peers. Throws `std::system_error` when it cannot be bound. Precondition: `store`
     * and `health` outlive the broker. */
    TurnBroker(asio::io_context& io, platform::StoreClient& store, StoreHealth& health,
        const TurnBrokerOptions& options);
    ~TurnBroker();

    /** Asks for tokens. `done` comes at most once, perhaps before this returns. */
    TurnId ask(const TurnRequest& request, OnGrant done);
    /** What a turn that still waits is waiting for, for logs. */
    std::string describe(TurnId turn) const;
    /** The caller of a turn that still waits is gone. */
    void abandon(TurnId turn);
    /** A granted turn has ended; `target` is where it ran, empty when it was sent nowhere. */
    void ended(const TurnGrant& grant, TokenCount used, const TargetId& target);
    void setPeers(const std::map<VmId, PeerEntry>& peers);
    /** To be called at a steady pace. */
    void tick(bool isDraining, MonotonicTime now);
    /** Whether nothing of a budget is on its way to the store. */
    bool isQuiet() const;
    std::size_t programs() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
