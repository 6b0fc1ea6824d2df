#include "CapStock.h"

#include <algorithm>
#include <cmath>

namespace fescue {

namespace {

    constexpr double msPerSecond = 1000;
    // Demand of this time is held, until a second report has been answered.
    constexpr double stockSeconds = 2 * static_cast<double>(capPollInterval.count()) / msPerSecond;
    // A VM without requests of a workspace for this long returns its permits.
    constexpr Milliseconds idleTimeout { 2000 };
    constexpr double demandSmoothing = 0.3;

    void dropExpired(CapStock& stock, MonotonicTime now)
    {
        if (now < stock.validUntil_)
            return;
        for (auto& entry : stock.stocks_)
            entry.second.held_ = 0;
    }

    void measureDemand(WorkspaceStock& stock, MonotonicTime now)
    {
        double elapsed = static_cast<double>((now - stock.measuredAt_).count()) / msPerSecond;
        if (elapsed * msPerSecond < static_cast<double>(capPollInterval.count()))
            return;
        double measured = stock.demanded_ / elapsed;
        stock.demandPerSecond_ += demandSmoothing * (measured - stock.demandPerSecond_);
        stock.demanded_ = 0;
        stock.measuredAt_ = now;
    }

    std::uint32_t targetOf(const WorkspaceStock& stock, MonotonicTime now)
    {
        if (now >= stock.lastDemand_ + idleTimeout)
            return 0;
        return 1 + static_cast<std::uint32_t>(std::ceil(stock.demandPerSecond_ * stockSeconds));
    }

    StockLine makeLine(const WorkspaceId& workspace, WorkspaceStock& stock, MonotonicTime now)
    {
        measureDemand(stock, now);
        std::uint32_t target = targetOf(stock, now);
        std::uint32_t surplus = stock.held_ > 2 * target ? stock.held_ - target : 0;
        stock.held_ -= surplus;
        std::uint32_t wanted = target - std::min(target, stock.held_);
        return { workspace, stock.held_, surplus, stock.waiting_, wanted };
    }

} // namespace

CapStock newCapStock(const VmId& vm, const WriterId& writer, MonotonicTime now)
{
    CapStock stock;
    stock.vm_ = vm;
    stock.writer_ = writer;
    stock.votedUntil_ = now + capVoteTime;
    return stock;
}

PermitDecision demandPermit(CapStock& stock, const WorkspaceId& workspace, MonotonicTime now)
{
    using Outcome = PermitDecision::Outcome;
    WorkspaceStock& own = stock.stocks_[workspace];
    ++own.demanded_;
    own.lastDemand_ = now;
    if (own.waiting_ == 0 && takePermit(stock, workspace, now))
        return { Outcome::Admitted, Milliseconds { 0 } };
    if (now < own.refusedUntil_)
        return { Outcome::Refused, own.refusedUntil_ - now };
    ++own.waiting_;
    return { Outcome::Waits, Milliseconds { 0 } };
}

bool takePermit(CapStock& stock, const WorkspaceId& workspace, MonotonicTime now)
{
    dropExpired(stock, now);
    auto own = stock.stocks_.find(workspace);
    if (own == stock.stocks_.end() || own->second.held_ == 0)
        return false;
    --own->second.held_;
    return true;
}

void dropPermits(CapStock& stock, const WorkspaceId& workspace)
{
    auto own = stock.stocks_.find(workspace);
    if (own == stock.stocks_.end())
        return;
    own->second.held_ = 0;
    own->second.refusedUntil_ = {};
}

bool mustChooseGiver(const CapStock& stock, bool isUsable)
{
    // One that has answered without giving out permits knows of no other that does.
    return !isUsable || (!stock.isGiverKnown_ && !stock.answeredBy_.empty());
}

void followGiver(CapStock& stock, const VmId& vm)
{
    stock.followed_ = vm;
    stock.isGiverKnown_ = false;
    stock.answeredBy_ = {};
}

StockReport makeReport(CapStock& stock, MonotonicTime now)
{
    dropExpired(stock, now);
    StockReport report { stock.vm_, stock.writer_, ++stock.sequence_, false, stock.answeredBy_,
        stock.answerClock_, {} };
    if (!stock.answeredBy_.empty() && (stock.votedFor_ == stock.answeredBy_ || now >= stock.votedUntil_)) {
        report.isVote_ = true;
        stock.votedFor_ = stock.answeredBy_;
        stock.votedUntil_ = now + capVoteTime;
    }
    for (auto& [workspace, own] : stock.stocks_) {
        StockLine line = makeLine(workspace, own, now);
        if (line.held_ > 0 || line.returned_ > 0 || line.needed_ > 0 || line.wanted_ > 0 || own.stated_ > 0)
            report.lines_.push_back(std::move(line));
    }
    return report;
}

Milliseconds reportDelay(const StockReport& report, const GrantReply& reply)
{
    bool hasNothing
        = std::any_of(reply.lines_.begin(), reply.lines_.end(), [&report](const GrantLine& grant) {
              return grant.granted_ == 0 && grant.retryAfter_.count() == 0
                  && std::any_of(report.lines_.begin(), report.lines_.end(), [&grant](const StockLine& line) {
                         return line.workspace_ == grant.workspace_ && line.needed_ > 0;
                     });
          });
    return hasNothing ? capPollInterval / 2 : Milliseconds { 0 };
}

void applyGrants(CapStock& stock, const StockReport& report, const GrantReply& reply, MonotonicTime sentAt,
    MonotonicTime now)
{
    stock.answeredBy_ = reply.writer_;
    stock.answerClock_ = reply.clock_;
    stock.isGiverKnown_ = reply.isGiver_;
    if (!reply.isGiver_) {
        if (!reply.giver_.empty() && reply.giver_ != stock.followed_)
            followGiver(stock, reply.giver_);
        return;
    }
    dropExpired(stock, now);
    stock.validUntil_ = std::max(stock.validUntil_, sentAt + permitLifetime);
    for (const StockLine& line : report.lines_)
        stock.stocks_[line.workspace_].stated_ = line.held_;
    for (const GrantLine& line : reply.lines_) {
        WorkspaceStock& own = stock.stocks_[line.workspace_];
        own.held_ += line.granted_;
        own.stated_ += line.granted_;
        if (line.retryAfter_.count() > 0)
            own.refusedUntil_ = now + line.retryAfter_;
    }
    for (auto own = stock.stocks_.begin(); own != stock.stocks_.end();) {
        const WorkspaceStock& entry = own->second;
        bool isUnused = entry.held_ == 0 && entry.stated_ == 0 && entry.waiting_ == 0
            && now >= entry.lastDemand_ + idleTimeout;
        own = isUnused ? stock.stocks_.erase(own) : std::next(own);
    }
}

} // namespace fescue
