#include "WorkspaceCapsImpl.h"

namespace fescue {

// Asks the next zone for the requests that have asked fewest.
void WorkspaceCaps::Impl::borrow(MonotonicTime now)
{
    if (loan_.call_)
        return;
    std::map<WorkspaceId, std::uint32_t> needed;
    const Waiting* first = nullptr;
    for (const Waiting& entry : waiting_) {
        if (!entry.isBorrowing_ || (first && entry.zonesAsked_ != first->zonesAsked_))
            continue;
        first = first ? first : &entry;
        ++needed[entry.workspace_];
    }
    if (!first || first->zonesAsked_ >= otherZones_.size())
        return;
    loan_ = { nullptr, {}, otherZones_[first->zonesAsked_], first->zonesAsked_, {}, now, {} };
    loan_.report_.vm_ = stock_.vm_;
    loan_.report_.writer_ = stock_.writer_;
    loan_.report_.sequence_ = ++loans_;
    for (const auto& [workspace, count] : needed)
        loan_.report_.lines_.push_back({ workspace, 0, 0, count, 0 });
    auto vm = lenderOf(loan_.zone_, now);
    if (vm) {
        loan_.vm_ = vm->vm_;
        sendLoan(*vm);
    }
    if (!loan_.call_)
        endLoan({});
}

std::optional<PeerEntry> WorkspaceCaps::Impl::lenderOf(const ZoneId& zone, MonotonicTime now) const
{
    auto named = lenders_.find(zone);
    auto known = named == lenders_.end() ? peers_.peers_.end() : peers_.peers_.find(named->second);
    if (known != peers_.peers_.end() && isUsable(peers_, known->first, now))
        return known->second;
    for (const PeerEntry& vm : rankedVms(peers_, zone, rankingKey)) {
        if (vm.zone_ == zone && isUsable(peers_, vm.vm_, now))
            return vm;
    }
    return std::nullopt;
}

void WorkspaceCaps::Impl::sendLoan(const PeerEntry& vm)
{
    OutboundCallbacks callbacks;
    std::uint64_t sequence = loans_;
    callbacks.onBody_ = [weak = weak_from_this(), sequence](const std::string& part) {
        auto self = weak.lock();
        if (self && self->loans_ == sequence)
            self->loan_.replyBody_ += part;
    };
    callbacks.onEnd_ = [weak = weak_from_this(), sequence](const OutboundResult& end) {
        auto self = weak.lock();
        if (!self || self->loans_ != sequence || !self->loan_.call_)
            return;
        bool isAnswered = end.outcome_ == OutboundResult::Outcome::Answered;
        // The permits of a reply that comes after a pause of this VM may have expired.
        bool isTimely = bootNow() < self->loan_.sentAt_ + replyTimeout;
        auto reply = isAnswered && isTimely ? parseGrantReply(self->loan_.replyBody_) : std::nullopt;
        recordPeerOutcome(self->peers_, self->loan_.vm_, isAnswered, bootNow());
        self->endLoan(reply.value_or(GrantReply {}));
    };
    loan_.call_ = exchange_.post(vm, capsPath, encode(loan_.report_), std::move(callbacks));
}

void WorkspaceCaps::Impl::endLoan(const GrantReply& reply)
{
    loan_.call_ = nullptr;
    if (reply.isGiver_)
        lenders_[loan_.zone_] = loan_.vm_;
    else if (!reply.giver_.empty())
        lenders_[loan_.zone_] = reply.giver_;
    std::map<WorkspaceId, std::uint32_t> granted;
    for (const GrantLine& line : reply.lines_)
        granted[line.workspace_] = line.granted_;
    std::map<WorkspaceId, std::uint32_t> asked;
    for (const StockLine& line : loan_.report_.lines_)
        asked[line.workspace_] = line.needed_;
    MonotonicTime now = bootNow();
    Decided decided;
    for (auto entry = waiting_.begin(); entry != waiting_.end();) {
        bool isAsked
            = entry->isBorrowing_ && entry->zonesAsked_ == loan_.zonesAsked_ && asked[entry->workspace_] > 0;
        if (!isAsked) {
            ++entry;
            continue;
        }
        --asked[entry->workspace_];
        if (granted[entry->workspace_] > 0) {
            --granted[entry->workspace_];
            borrowed_.add();
            entry = decide(decided, entry, CapOutcome::Admitted, Milliseconds { 0 });
        } else if (++entry->zonesAsked_ >= otherZones_.size()) {
            borrowAfter_[entry->workspace_] = now + borrowPause;
            entry = decide(decided, entry, CapOutcome::OverCap, borrowPause);
        } else {
            ++entry;
        }
    }
    finishAll(decided);
    borrow(now);
}

} // namespace fescue
