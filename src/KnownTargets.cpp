#include "KnownTargets.h"

#include "BootClock.h"
#include "TcpLink.h"

namespace fescue {

KnownTargets::KnownTargets(
    asio::io_context& io, PeerExchange& exchange, TargetPool& pool, std::function<void()> onPermits)
    : pool_(pool)
    , onPermits_(std::move(onPermits))
    , permits_(io, exchange, rateBeliefs())
{
}

RateBeliefs KnownTargets::rateBeliefs()
{
    return { [this](const TargetStart& start, const RateObservation& observation) {
                if (readPeerObservation(statements_, start, observation, bootNow()))
                    applyRate(start);
            },
        [this](const TargetStart& start) { return lastObservation(statements_.rates_, start); } };
}

void KnownTargets::applyRate(const TargetStart& start)
{
    if (startOf(start.target_).startedAt_ == start.startedAt_)
        setRate(pool_, start.target_, rateOf(statements_.rates_, start));
}

void KnownTargets::set(const TargetList& list, const ServingConfig& config)
{
    targets_.clear();
    listReadAt_ = list.readAt_;
    for (const auto& [id, entry] : list.entries_) {
        if (auto address = parseEndpoint(entry.address_))
            targets_[id] = { *address, entry.startedAt_ };
    }
    endStatements(statements_, list, bootNow());
    setTargets(pool_, poolTargets(list, config, statements_.leaving_));
    for (const auto& [id, known] : targets_)
        applyRate({ id, known.startedAt_ });
}

bool KnownTargets::readAnswer(const TargetStart& start, const AnswerTags& tags)
{
    StatementChange change = readStatements(statements_, start, tags, bootNow());
    if (change.startsLeaving_)
        setLeaving(pool_, start.target_, true);
    if (change.changesRate_) {
        applyRate(start);
        auto target = pool_.targets_.find(start.target_);
        if (target != pool_.targets_.end())
            permits_.publish(start, target->second.target_.zone_);
    }
    return change.startsLeaving_;
}

void KnownTargets::requestPermits()
{
    for (const auto& [target, wanted] : takeWantedPermits(pool_, bootNow())) {
        permits_.request(startOf(target), pool_.targets_[target].target_.zone_, wanted,
            [this, target = target](const PermitReply& reply) {
                addPermits(pool_, target, reply.granted_, reply.retryAfter_, reply.expected_, bootNow());
                onPermits_();
            });
    }
}

void KnownTargets::tick(const TargetList& list, MonotonicTime now)
{
    listReadAt_ = list.readAt_;
    permits_.tick(now);
    EndedStatements ended = endStatements(statements_, list, now);
    for (const TargetId& target : ended.rates_)
        applyRate(startOf(target));
    for (const TargetId& target : ended.leaving_) {
        auto entry = list.entries_.find(target);
        if (entry != list.entries_.end())
            setLeaving(pool_, target, entry->second.isLeaving_);
    }
}

TargetStart KnownTargets::startOf(const TargetId& target) const
{
    auto known = targets_.find(target);
    return { target, known == targets_.end() ? Milliseconds { 0 } : known->second.startedAt_ };
}

Milliseconds KnownTargets::listAge(MonotonicTime now) const { return now - listReadAt_; }

std::optional<asio::ip::tcp::endpoint> KnownTargets::addressOf(const TargetId& target) const
{
    auto known = targets_.find(target);
    return known == targets_.end() ? std::nullopt : std::optional(known->second.address_);
}

} // namespace fescue
