#pragma once

/** \file
 * KnownTargets: keeps the targets of the pool up to date with the list, the configuration, and with what
 * targets say in their answers.
 */

#include "PermitBroker.h"
#include "PoolTargets.h"
#include "TargetPool.h"
#include "TargetStatements.h"

#include <asio/ip/tcp.hpp>

namespace fescue {

/** The targets of an entry VM. Confined to the thread of the event loop. */
class KnownTargets {
public:
    /** `onPermits` is called when a call may have become able to run. Precondition: `pool` and `exchange`
     * outlive this object, and `exchange` serves no call after it. */
    KnownTargets(
        asio::io_context& io, PeerExchange& exchange, TargetPool& pool, std::function<void()> onPermits);
    KnownTargets(const KnownTargets&) = delete;
    KnownTargets& operator=(const KnownTargets&) = delete;

    /** Replaces the targets of the pool. */
    void set(const TargetList& list, const ServingConfig& config);
    /** Takes in the head of an answer. Returns whether its target has begun to leave. */
    bool readAnswer(const TargetStart& start, const AnswerTags& tags);
    /** Asks for the permits that waiting calls need; to be called after each dispatch. */
    void requestPermits();
    /** To be called periodically. */
    void tick(const TargetList& list, MonotonicTime now);

    /** The current start of a target; its time is 0 if the target is not known. */
    TargetStart startOf(const TargetId& target) const;
    /** Time since the list was read to its end. */
    Milliseconds listAge(MonotonicTime now) const;
    /** The address of a target; nothing if it is not known. */
    std::optional<asio::ip::tcp::endpoint> addressOf(const TargetId& target) const;

private:
    struct Known {
        asio::ip::tcp::endpoint address_;
        Milliseconds startedAt_ { 0 };
    };

    RateBeliefs rateBeliefs();
    void applyRate(const TargetStart& start);

    TargetPool& pool_;
    std::function<void()> onPermits_;
    std::map<TargetId, Known> targets_;
    MonotonicTime listReadAt_;
    TargetStatements statements_;
    PermitBroker permits_;
};

} // namespace fescue
