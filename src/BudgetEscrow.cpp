#include "BudgetEscrow.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescue {

namespace {

    constexpr char keyMark = '|';

    // What the budget has left for us next to the claims of others.
    TokenCount room(const ProgramBudget& program)
    {
        return std::max(TokenCount { 0 }, program.budget_ - program.othersClaimed_);
    }

    TokenCount committed(const ProgramBudget& program) { return program.spent_ + program.reserved_; }

    TokenCount waitingTokens(const ProgramBudget& program)
    {
        TokenCount sum;
        for (const WaitingTurn& turn : program.waiting_)
            sum += turn.most_;
        return sum;
    }

    bool isPredecessor(const WriterId& own, const WriterId& other)
    {
        std::size_t mark = own.value_.find(predecessorMark);
        return mark != std::string::npos && other.value_.compare(0, mark + 1, own.value_, 0, mark + 1) == 0;
    }

    WriteClaim writeClaim(const BudgetEscrow& escrow, const ProgramId& id, ProgramBudget& program,
        TokenCount claimed, bool isNeeded)
    {
        program.isWriting_ = true;
        program.recorded_ = std::max(program.recorded_, claimed);
        BudgetClaim claim { claimed, program.spent_, 0 };
        return { id, claim, program.retention_ + escrow.options_.expiryMargin_, isNeeded };
    }

    // A claim for what is committed and waits, and ahead by a share of what is left then.
    TokenCount nextClaim(const BudgetEscrow& escrow, const ProgramBudget& program)
    {
        TokenCount needed = committed(program) + waitingTokens(program);
        TokenCount left = std::max(TokenCount { 0 }, room(program) - needed);
        TokenCount share { left.value_ / escrow.options_.aheadShare_ };
        TokenCount turns { program.lastMost_.value_ * escrow.options_.aheadTurns_ };
        TokenCount ahead = std::clamp(share, program.lastMost_, turns);
        return std::min(needed + ahead, room(program));
    }

    void grantWaiting(ProgramBudget& program, EscrowEffects& effects)
    {
        while (!program.waiting_.empty()
            && committed(program) + program.waiting_.front().most_ <= program.usable_) {
            program.reserved_ += program.waiting_.front().most_;
            effects.push_back(DecideTurn { program.waiting_.front().id_, TurnDecision::Granted });
            program.waiting_.pop_front();
        }
    }

    // Turns under way may leave tokens over when they end, so a turn that could then fit goes on waiting.
    bool mayFitLater(const ProgramBudget& program, TokenCount most)
    {
        return program.reserved_.value_ > 0 && program.spent_ + most <= room(program);
    }

    // What was spent only grows, so this needs no read of what others have claimed by now.
    bool isSpentForGood(const ProgramBudget& program)
    {
        return !program.waiting_.empty() && program.reserved_.value_ == 0
            && program.spent_ + program.othersSpent_ + program.waiting_.front().most_ > program.budget_;
    }

    void refuseWaiting(ProgramBudget& program, EscrowEffects& effects)
    {
        std::deque<WaitingTurn> kept;
        for (const WaitingTurn& turn : program.waiting_) {
            if (mayFitLater(program, turn.most_)) {
                if (turn.mayWait_)
                    kept.push_back(turn);
                else
                    effects.push_back(DecideTurn { turn.id_, TurnDecision::InUse });
                continue;
            }
            bool isSpent = committed(program) + program.othersSpent_ + turn.most_ > program.budget_;
            effects.push_back(
                DecideTurn { turn.id_, isSpent ? TurnDecision::Spent : TurnDecision::HeldElsewhere });
        }
        program.waiting_ = std::move(kept);
    }

    void refuseUnavailable(ProgramBudget& program, EscrowEffects& effects)
    {
        std::deque<WaitingTurn> kept;
        for (const WaitingTurn& turn : program.waiting_) {
            // These wait for a turn of their own program rather than for the store.
            if (!program.isWriting_ && mayFitLater(program, turn.most_))
                kept.push_back(turn);
            else
                effects.push_back(DecideTurn { turn.id_, TurnDecision::Unavailable });
        }
        program.waiting_ = std::move(kept);
    }

    // Grants what fits; writes a claim for the rest, or refuses it when no claim could help.
    void advance(const BudgetEscrow& escrow, const ProgramId& id, ProgramBudget& program, bool hasJustRead,
        EscrowEffects& effects)
    {
        grantWaiting(program, effects);
        if (program.isWriting_)
            return;
        if (isSpentForGood(program))
            return refuseWaiting(program, effects);
        TokenCount claim = nextClaim(escrow, program);
        if (!program.waiting_.empty()) {
            bool wouldHelp
                = claim > program.usable_ && committed(program) + program.waiting_.front().most_ <= claim;
            // Others may have returned claims since they were read last, so a read comes before each refusal.
            if (wouldHelp || !hasJustRead)
                effects.push_back(writeClaim(escrow, id, program, std::max(claim, program.usable_), true));
            else
                refuseWaiting(program, effects);
            return;
        }
        // The next turn would have to wait for a write, so it is made now.
        TokenCount next = committed(program) + program.lastMost_;
        if (program.usable_ < next && program.reserved_.value_ > 0 && claim >= next)
            effects.push_back(writeClaim(escrow, id, program, claim, true));
    }

} // namespace

std::string claimKey(const ProgramId& program, const WriterId& writer)
{
    return program.value_ + keyMark + writer.value_;
}

std::string claimValue(const BudgetClaim& claim)
{
    return nlohmann::json::array({ claim.claimed_.value_, claim.spent_.value_, claim.expiresAt_ }).dump();
}

std::optional<ClaimRecord> parseClaim(const std::string& key, const std::string& value)
{
    std::size_t mark = key.rfind(keyMark);
    auto document = nlohmann::json::parse(value, nullptr, false);
    constexpr std::size_t fields = 3;
    if (mark == std::string::npos || mark == 0 || !document.is_array() || document.size() != fields)
        return std::nullopt;
    for (const auto& field : document) {
        if (!field.is_number_integer())
            return std::nullopt;
    }
    ClaimRecord record;
    record.program_ = { key.substr(0, mark) };
    record.writer_ = { key.substr(mark + 1) };
    record.claim_ = { { document[0].get<std::int64_t>() }, { document[1].get<std::int64_t>() },
        document[2].get<std::int64_t>() };
    return record;
}

EscrowEffects turnArrived(BudgetEscrow& escrow, const ProgramId& id, TokenCount budget,
    Milliseconds retention, const WaitingTurn& turn, MonotonicTime now)
{
    auto [found, isNew] = escrow.programs_.try_emplace(id);
    ProgramBudget& program = found->second;
    // The lowest budget that was ever named holds: a caller cannot raise it by naming another one.
    program.budget_ = isNew ? budget : std::min(program.budget_, budget);
    program.retention_ = std::max(program.retention_, retention);
    program.lastMost_ = turn.most_;
    program.lastUse_ = now;
    program.waiting_.push_back(turn);
    EscrowEffects effects;
    advance(escrow, id, program, false, effects);
    return effects;
}

void turnAbandoned(BudgetEscrow& escrow, const ProgramId& id, TurnId turn)
{
    auto found = escrow.programs_.find(id);
    if (found == escrow.programs_.end())
        return;
    auto& waiting = found->second.waiting_;
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                      [turn](const WaitingTurn& entry) { return entry.id_ == turn; }),
        waiting.end());
}

EscrowEffects turnEnded(
    BudgetEscrow& escrow, const ProgramId& id, TokenCount most, TokenCount used, MonotonicTime now)
{
    EscrowEffects effects;
    auto found = escrow.programs_.find(id);
    if (found == escrow.programs_.end())
        return effects;
    ProgramBudget& program = found->second;
    program.reserved_ -= most;
    program.spent_ += used;
    program.lastUse_ = now;
    if (!program.waiting_.empty())
        advance(escrow, id, program, false, effects);
    return effects;
}

EscrowEffects claimWritten(BudgetEscrow& escrow, const ProgramId& id, const BudgetClaim& claim,
    const std::vector<ClaimRecord>& others, MonotonicTime now)
{
    EscrowEffects effects;
    auto found = escrow.programs_.find(id);
    if (found == escrow.programs_.end())
        return effects;
    ProgramBudget& program = found->second;
    program.isWriting_ = false;
    program.recorded_ = claim.claimed_;
    program.othersClaimed_ = {};
    program.othersSpent_ = {};
    program.holders_.clear();
    for (const ClaimRecord& other : others) {
        program.othersClaimed_ += other.claim_.claimed_;
        // An earlier start of this VM cannot return anything any more.
        bool isGone = isPredecessor(escrow.writer_, other.writer_);
        program.othersSpent_ += isGone ? other.claim_.claimed_ : other.claim_.spent_;
        if (!isGone && other.claim_.claimed_ > other.claim_.spent_)
            program.holders_.push_back(other.writer_);
    }
    // What was committed before another writer came is covered by the claim that it has seen.
    program.usable_ = std::max(std::min(claim.claimed_, room(program)), committed(program));
    program.lastUse_ = now;
    advance(escrow, id, program, true, effects);
    // What others leave is less than the claim: they may use the rest of it.
    if (!program.isWriting_ && program.usable_ < program.recorded_)
        effects.push_back(writeClaim(escrow, id, program, program.usable_, false));
    return effects;
}

EscrowEffects claimLowered(BudgetEscrow& escrow, const ProgramId& id)
{
    EscrowEffects effects;
    auto found = escrow.programs_.find(id);
    if (found == escrow.programs_.end())
        return effects;
    ProgramBudget& program = found->second;
    program.isWriting_ = false;
    program.recorded_ = program.usable_;
    if (!program.waiting_.empty())
        advance(escrow, id, program, false, effects);
    return effects;
}

void claimDropped(BudgetEscrow& escrow, const ProgramId& id)
{
    auto found = escrow.programs_.find(id);
    if (found == escrow.programs_.end())
        return;
    ProgramBudget& program = found->second;
    program.isWriting_ = false;
    // Between two writes the record is what may be used.
    program.recorded_ = program.usable_;
    bool isUnused = program.recorded_.value_ == 0 && committed(program).value_ == 0;
    if (isUnused && program.waiting_.empty())
        escrow.programs_.erase(found);
}

EscrowEffects storeUnavailable(BudgetEscrow& escrow)
{
    EscrowEffects effects;
    for (auto& [id, program] : escrow.programs_)
        refuseUnavailable(program, effects);
    return effects;
}

EscrowEffects storeUnavailable(BudgetEscrow& escrow, const ProgramId& id)
{
    EscrowEffects effects;
    auto found = escrow.programs_.find(id);
    if (found != escrow.programs_.end())
        refuseUnavailable(found->second, effects);
    return effects;
}

EscrowEffects escrowTick(BudgetEscrow& escrow, bool isDraining, MonotonicTime now)
{
    EscrowEffects effects;
    const EscrowOptions& options = escrow.options_;
    for (auto entry = escrow.programs_.begin(); entry != escrow.programs_.end();) {
        ProgramBudget& program = entry->second;
        bool isBusy = program.isWriting_ || program.reserved_.value_ > 0 || !program.waiting_.empty();
        if (!isBusy && now > program.lastUse_ + program.retention_ + options.expiryMargin_) {
            effects.push_back(DropClaim { entry->first });
            entry = escrow.programs_.erase(entry);
            continue;
        }
        if (isDraining && !isBusy && program.recorded_ > program.spent_) {
            program.usable_ = program.spent_;
            effects.push_back(writeClaim(escrow, entry->first, program, program.spent_, false));
        }
        ++entry;
    }
    return effects;
}

} // namespace fescue
