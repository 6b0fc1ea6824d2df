#include "BudgetEscrow.h"

#include "NumberBounds.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace fescue {

namespace {

    constexpr char keySeparator = '|';

    // The part of the budget that the claims of other writers leave.
    TokenCount availableTokens(const ProgramBudget& program)
    {
        return std::max(TokenCount { 0 }, program.budget_ - program.othersClaimed_);
    }

    TokenCount committed(const ProgramBudget& program) { return program.spent_ + program.reserved_; }

    TokenCount waitingTokens(const ProgramBudget& program)
    {
        TokenCount sum;
        for (const WaitingTurn& turn : program.waiting_)
            sum += turn.maxTokens_;
        return sum;
    }

    bool isEarlierIncarnation(const WriterId& own, const WriterId& other)
    {
        std::size_t separator = own.value_.find(writerIdSeparator);
        return separator != std::string::npos
            && other.value_.compare(0, separator + 1, own.value_, 0, separator + 1) == 0;
    }

    WriteClaim writeClaim(const BudgetEscrow& escrow, const ProgramId& id, ProgramBudget& program,
        TokenCount claimed, bool isNeeded)
    {
        program.isWriting_ = true;
        program.writingSince_ = program.lastUsedAt_;
        program.recorded_ = std::max(program.recorded_, claimed);
        BudgetClaim claim { claimed, program.spent_, 0 };
        return { id, claim, program.retention_ + escrow.options_.expiryMargin_, isNeeded };
    }

    // A claim covers committed and waiting turns, plus headroom as a share of the remaining budget.
    TokenCount nextClaim(const BudgetEscrow& escrow, const ProgramBudget& program)
    {
        TokenCount needed = committed(program) + waitingTokens(program);
        TokenCount left = std::max(TokenCount { 0 }, availableTokens(program) - needed);
        TokenCount share { left.value_ / escrow.options_.headroomDivisor_ };
        TokenCount maxHeadroom { program.lastMaxTokens_.value_ * escrow.options_.maxHeadroomTurns_ };
        TokenCount headroom = std::clamp(share, program.lastMaxTokens_, maxHeadroom);
        return std::min(needed + headroom, availableTokens(program));
    }

    void grantWaiting(ProgramBudget& program, EscrowEffects& effects)
    {
        while (!program.waiting_.empty()
            && committed(program) + program.waiting_.front().maxTokens_ <= program.usable_) {
            program.reserved_ += program.waiting_.front().maxTokens_;
            effects.push_back(DecideTurn { program.waiting_.front().id_, TurnDecision::Granted });
            program.waiting_.pop_front();
        }
    }

    // Running turns may return unused tokens when they end, so a turn that could then fit keeps waiting.
    bool canFitLater(const ProgramBudget& program, TokenCount maxTokens)
    {
        return program.reserved_.value_ > 0 && program.spent_ + maxTokens <= availableTokens(program);
    }

    // The spent amount only grows, so this needs no fresh read of the other claims.
    bool isPermanentlySpent(const ProgramBudget& program)
    {
        return !program.waiting_.empty() && program.reserved_.value_ == 0
            && program.spent_ + program.othersSpent_ + program.waiting_.front().maxTokens_ > program.budget_;
    }

    void refuseWaiting(ProgramBudget& program, EscrowEffects& effects)
    {
        std::deque<WaitingTurn> kept;
        for (const WaitingTurn& turn : program.waiting_) {
            if (canFitLater(program, turn.maxTokens_)) {
                if (turn.canWait_)
                    kept.push_back(turn);
                else
                    effects.push_back(DecideTurn { turn.id_, TurnDecision::InUse });
                continue;
            }
            bool isSpent = committed(program) + program.othersSpent_ + turn.maxTokens_ > program.budget_;
            effects.push_back(
                DecideTurn { turn.id_, isSpent ? TurnDecision::BudgetSpent : TurnDecision::HeldElsewhere });
        }
        program.waiting_ = std::move(kept);
    }

    void refuseWithoutStore(ProgramBudget& program, EscrowEffects& effects)
    {
        std::deque<WaitingTurn> kept;
        for (const WaitingTurn& turn : program.waiting_) {
            // These turns wait for another turn of their program, not for the store.
            if (!program.isWriting_ && canFitLater(program, turn.maxTokens_))
                kept.push_back(turn);
            else
                effects.push_back(DecideTurn { turn.id_, TurnDecision::Unavailable });
        }
        program.waiting_ = std::move(kept);
    }

    bool isBusy(const ProgramBudget& program)
    {
        return program.isWriting_ || program.reserved_.value_ > 0 || !program.waiting_.empty();
    }

    // Whether the program cannot resume at this VM.
    bool isIdle(const BudgetEscrow& escrow, const ProgramBudget& program, MonotonicTime now)
    {
        return !isBusy(program)
            && now > program.lastUsedAt_ + program.retention_ + escrow.options_.expiryMargin_;
    }

    bool isInForce(const BudgetEscrow& escrow, const BudgetClaim& claim, std::int64_t wallSeconds)
    {
        return wallSeconds <= claim.expiresAt_ + escrow.options_.expiryGraceSeconds_;
    }

    // Whether the program has been used for so long since the last write that its claim would expire too
    // early.
    bool needsRenewal(const BudgetEscrow& escrow, const ProgramBudget& program)
    {
        return program.recorded_.value_ > 0
            && program.lastUsedAt_ > program.writtenAt_ + escrow.options_.expiryMargin_ / 2;
    }

    // Grants the turns that fit. For the others it writes a claim, or refuses them if no claim could help.
    void advance(const BudgetEscrow& escrow, const ProgramId& id, ProgramBudget& program, bool hasFreshRead,
        EscrowEffects& effects)
    {
        grantWaiting(program, effects);
        if (program.isWriting_)
            return;
        if (isPermanentlySpent(program))
            return refuseWaiting(program, effects);
        TokenCount claim = nextClaim(escrow, program);
        if (!program.waiting_.empty()) {
            bool wouldHelp = claim > program.usable_
                && committed(program) + program.waiting_.front().maxTokens_ <= claim;
            // Others may have lowered their claims since the last read, so each refusal needs a fresh read.
            if (wouldHelp || !hasFreshRead)
                effects.push_back(writeClaim(escrow, id, program, std::max(claim, program.usable_), true));
            else
                refuseWaiting(program, effects);
            return;
        }
        // Writes the claim in advance, since the next turn would otherwise have to wait for it.
        TokenCount next = committed(program) + program.lastMaxTokens_;
        if (program.usable_ < next && program.reserved_.value_ > 0 && claim >= next)
            effects.push_back(writeClaim(escrow, id, program, claim, true));
    }

} // namespace

std::string claimKey(const ProgramId& program, const WriterId& writer)
{
    return program.value_ + keySeparator + writer.value_;
}

std::string claimValue(const BudgetClaim& claim)
{
    return nlohmann::json::array({ claim.claimed_.value_, claim.spent_.value_, claim.expiresAt_ }).dump();
}

std::optional<ClaimRecord> parseClaim(const std::string& key, const std::string& value)
{
    std::size_t separator = key.rfind(keySeparator);
    auto document = nlohmann::json::parse(value, nullptr, false);
    constexpr std::size_t fieldCount = 3;
    if (separator == std::string::npos || separator == 0 || !document.is_array()
        || document.size() != fieldCount)
        return std::nullopt;
    for (const auto& field : document) {
        if (!field.is_number_integer() || !toBoundedInteger(field.get<double>()))
            return std::nullopt;
    }
    ClaimRecord record;
    record.program_ = { key.substr(0, separator) };
    record.writer_ = { key.substr(separator + 1) };
    record.claim_ = { { document[0].get<std::int64_t>() }, { document[1].get<std::int64_t>() },
        document[2].get<std::int64_t>() };
    return record;
}

EscrowEffects onTurnRequested(BudgetEscrow& escrow, const ProgramId& id, TokenCount budget,
    Milliseconds retention, const WaitingTurn& turn, MonotonicTime now)
{
    auto [found, isNew] = escrow.programs_.try_emplace(id);
    ProgramBudget& program = found->second;
    // The lowest requested budget applies, so a caller cannot raise it with a later request.
    program.budget_ = isNew ? budget : std::min(program.budget_, budget);
    program.retention_ = std::max(program.retention_, retention);
    program.lastMaxTokens_ = turn.maxTokens_;
    program.lastUsedAt_ = now;
    program.waiting_.push_back(turn);
    EscrowEffects effects;
    advance(escrow, id, program, false, effects);
    return effects;
}

void onTurnAbandoned(BudgetEscrow& escrow, const ProgramId& id, TurnId turn)
{
    auto found = escrow.programs_.find(id);
    if (found == escrow.programs_.end())
        return;
    auto& waiting = found->second.waiting_;
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                      [turn](const WaitingTurn& entry) { return entry.id_ == turn; }),
        waiting.end());
}

EscrowEffects onTurnEnded(
    BudgetEscrow& escrow, const ProgramId& id, TokenCount maxTokens, TokenCount used, MonotonicTime now)
{
    EscrowEffects effects;
    auto found = escrow.programs_.find(id);
    if (found == escrow.programs_.end())
        return effects;
    ProgramBudget& program = found->second;
    program.reserved_ -= maxTokens;
    program.spent_ += used;
    program.lastUsedAt_ = now;
    if (!program.waiting_.empty())
        advance(escrow, id, program, false, effects);
    return effects;
}

EscrowEffects onClaimWritten(BudgetEscrow& escrow, const ProgramId& id, const BudgetClaim& claim,
    const std::vector<ClaimRecord>& others, MonotonicTime now)
{
    EscrowEffects effects;
    auto found = escrow.programs_.find(id);
    if (found == escrow.programs_.end())
        return effects;
    ProgramBudget& program = found->second;
    program.isWriting_ = false;
    program.writtenAt_ = program.writingSince_;
    program.recorded_ = claim.claimed_;
    program.othersClaimed_ = {};
    program.othersSpent_ = {};
    program.holders_.clear();
    for (const ClaimRecord& other : others) {
        program.othersClaimed_ += other.claim_.claimed_;
        // An earlier incarnation of this VM can no longer return tokens.
        bool isEarlier = isEarlierIncarnation(escrow.writer_, other.writer_);
        program.othersSpent_ += isEarlier ? other.claim_.claimed_ : other.claim_.spent_;
        if (!isEarlier && other.claim_.claimed_ > other.claim_.spent_)
            program.holders_.push_back(other.writer_);
    }
    // Tokens committed before another writer appeared are covered by the claim that this writer has read.
    program.usable_ = std::max(std::min(claim.claimed_, availableTokens(program)), committed(program));
    program.lastUsedAt_ = now;
    advance(escrow, id, program, true, effects);
    // The other claims leave less than this claim, so it is lowered and others can use the difference.
    if (!program.isWriting_ && program.usable_ < program.recorded_)
        effects.push_back(writeClaim(escrow, id, program, program.usable_, false));
    return effects;
}

EscrowEffects onClaimLowered(BudgetEscrow& escrow, const ProgramId& id)
{
    EscrowEffects effects;
    auto found = escrow.programs_.find(id);
    if (found == escrow.programs_.end())
        return effects;
    ProgramBudget& program = found->second;
    program.isWriting_ = false;
    program.writtenAt_ = program.writingSince_;
    program.recorded_ = program.usable_;
    if (!program.waiting_.empty())
        advance(escrow, id, program, false, effects);
    return effects;
}

void onClaimDropped(BudgetEscrow& escrow, const ProgramId& id)
{
    auto found = escrow.programs_.find(id);
    if (found == escrow.programs_.end())
        return;
    ProgramBudget& program = found->second;
    program.isWriting_ = false;
    // No other write is pending, so the stored claim equals the usable amount.
    program.recorded_ = program.usable_;
    bool isUnused = program.recorded_.value_ == 0 && committed(program).value_ == 0;
    if (isUnused && program.waiting_.empty())
        escrow.programs_.erase(found);
}

EscrowEffects onClaimsRead(BudgetEscrow& escrow, const ProgramId& id, const std::vector<ClaimRecord>& others,
    std::int64_t wallSeconds, MonotonicTime now)
{
    auto found = escrow.programs_.find(id);
    if (found == escrow.programs_.end())
        return {};
    ProgramBudget& program = found->second;
    program.isReadingClaims_ = false;
    if (!isIdle(escrow, program, now))
        return {};
    bool goesOnElsewhere = std::any_of(others.begin(), others.end(),
        [&](const ClaimRecord& other) { return isInForce(escrow, other.claim_, wallSeconds); });
    if (goesOnElsewhere) {
        program.readClaimsAt_ = now + program.retention_ + escrow.options_.expiryMargin_;
        return {};
    }
    escrow.programs_.erase(found);
    return { DropClaim { id } };
}

std::vector<std::string> expiredClaims(
    const BudgetEscrow& escrow, const std::vector<ClaimRecord>& records, std::int64_t wallSeconds)
{
    std::set<ProgramId> living;
    for (const ClaimRecord& record : records) {
        if (escrow.programs_.count(record.program_) || isInForce(escrow, record.claim_, wallSeconds))
            living.insert(record.program_);
    }
    std::vector<std::string> keys;
    for (const ClaimRecord& record : records) {
        if (record.writer_ != escrow.writer_ && !living.count(record.program_))
            keys.push_back(claimKey(record.program_, record.writer_));
    }
    return keys;
}

EscrowEffects onStoreUnavailable(BudgetEscrow& escrow)
{
    EscrowEffects effects;
    for (auto& [id, program] : escrow.programs_)
        refuseWithoutStore(program, effects);
    return effects;
}

EscrowEffects onStoreUnavailable(BudgetEscrow& escrow, const ProgramId& id)
{
    EscrowEffects effects;
    auto found = escrow.programs_.find(id);
    if (found != escrow.programs_.end())
        refuseWithoutStore(found->second, effects);
    return effects;
}

EscrowEffects tickEscrow(BudgetEscrow& escrow, bool isDraining, MonotonicTime now)
{
    EscrowEffects effects;
    for (auto entry = escrow.programs_.begin(); entry != escrow.programs_.end();) {
        auto current = entry++;
        auto& [id, program] = *current;
        if (isBusy(program))
            continue;
        // The store holds no claim of this VM.
        if (program.recorded_.value_ == 0 && isIdle(escrow, program, now)) {
            escrow.programs_.erase(current);
            continue;
        }
        if (isDraining && program.recorded_ > program.spent_) {
            program.usable_ = program.spent_;
            effects.push_back(writeClaim(escrow, id, program, program.spent_, false));
        } else if (needsRenewal(escrow, program)) {
            effects.push_back(writeClaim(escrow, id, program, program.usable_, false));
        } else if (isIdle(escrow, program, now) && !program.isReadingClaims_
            && now >= program.readClaimsAt_) {
            program.isReadingClaims_ = true;
            effects.push_back(ReadClaims { id });
        }
    }
    return effects;
}

} // namespace fescue
