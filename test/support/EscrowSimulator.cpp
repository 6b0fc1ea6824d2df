#include "EscrowSimulator.h"

#include <algorithm>

namespace fescue::test {

namespace {

    constexpr std::size_t writerCount = 3;
    constexpr MonotonicTime now { Milliseconds { 1000 } };

} // namespace

EscrowSimulator::EscrowSimulator(std::uint64_t seed, const EscrowFaults& faults)
    : random_(seed)
    , faults_(faults)
    , budget_ { 400 + static_cast<std::int64_t>(pick(1600)) }
    , writers_(writerCount)
{
    for (std::size_t i = 0; i < writerCount; ++i)
        writers_[i].writer_
            = { "vm-" + std::to_string(i) + writerIdSeparator + std::to_string(++lastIncarnation_) };
}

std::size_t EscrowSimulator::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

void EscrowSimulator::step()
{
    constexpr std::size_t choiceCount = 21;
    std::size_t choice = pick(choiceCount);
    if (choice < 6)
        requestTurn();
    else if (choice < 11)
        endTurn();
    else if (choice < 18)
        advanceOperation();
    else if (choice == 18)
        crash();
    else if (choice == 19)
        dropOperation();
    else
        isStoreUp_ = !isStoreUp_;
}

void EscrowSimulator::settle()
{
    isStoreUp_ = true;
    while (!operations_.empty() || !running_.empty()) {
        while (!operations_.empty())
            advanceOperation();
        if (!running_.empty())
            endTurn();
    }
}

void EscrowSimulator::requestTurn()
{
    std::size_t writer = pick(writers_.size());
    TurnId id { ++lastTurn_ };
    TokenCount maxTokens { 50 + static_cast<std::int64_t>(pick(150)) };
    requested_[id] = { writer, maxTokens };
    applyEffects(writer,
        onTurnRequested(writers_[writer], program_, budget_, Milliseconds { 60000 },
            { id, maxTokens, pick(2) == 0 }, now));
    if (!isStoreUp_)
        applyEffects(writer, onStoreUnavailable(writers_[writer]));
}

void EscrowSimulator::endTurn()
{
    if (running_.empty())
        return;
    auto turn = std::next(running_.begin(), static_cast<std::ptrdiff_t>(pick(running_.size())));
    Turn ended = turn->second;
    running_.erase(turn);
    TokenCount used { static_cast<std::int64_t>(
        pick(static_cast<std::size_t>(ended.maxTokens_.value_) + 1)) };
    generated_ += used;
    applyEffects(ended.writer_, onTurnEnded(writers_[ended.writer_], program_, ended.maxTokens_, used, now));
}

// The writes of one writer are applied in order; a read returns the current state of the store.
void EscrowSimulator::advanceOperation()
{
    if (operations_.empty() || !isStoreUp_)
        return;
    std::size_t writer = operations_[pick(operations_.size())].writer_;
    auto next = std::find_if(operations_.begin(), operations_.end(),
        [writer](const Operation& operation) { return operation.writer_ == writer; });
    if (!next->isWritten_) {
        store_[claimKey(program_, writers_[writer].writer_)] = next->write_.claim_;
        next->isWritten_ = true;
        return;
    }
    Operation done = *next;
    operations_.erase(next);
    EscrowEffects effects = done.write_.isNeeded_
        ? onClaimWritten(writers_[writer], program_, done.write_.claim_, othersOf(writer), now)
        : onClaimLowered(writers_[writer], program_);
    applyEffects(writer, effects);
}

// Drops a claim that was not written yet and that no turn waits for.
void EscrowSimulator::dropOperation()
{
    if (operations_.empty())
        return;
    auto operation = std::next(operations_.begin(), static_cast<std::ptrdiff_t>(pick(operations_.size())));
    BudgetEscrow& writer = writers_[operation->writer_];
    auto program = writer.programs_.find(program_);
    if (operation->isWritten_ || !operation->write_.isNeeded_ || program == writer.programs_.end()
        || !program->second.waiting_.empty())
        return;
    ++dropped_;
    operations_.erase(operation);
    onClaimDropped(writer, program_);
}

std::vector<ClaimRecord> EscrowSimulator::othersOf(std::size_t writer) const
{
    std::vector<ClaimRecord> others;
    if (faults_.hidesOtherClaims_)
        return others;
    for (const auto& [key, claim] : store_) {
        auto record = parseClaim(key, claimValue(claim));
        if (record && record->writer_ != writers_[writer].writer_)
            others.push_back(*record);
    }
    return others;
}

// The turns of a crashed writer have generated an unknown part of their tokens.
void EscrowSimulator::crash()
{
    std::size_t writer = pick(writers_.size());
    ++crashes_;
    for (auto turn = running_.begin(); turn != running_.end();) {
        if (turn->second.writer_ != writer) {
            ++turn;
            continue;
        }
        generated_ += TokenCount { static_cast<std::int64_t>(
            pick(static_cast<std::size_t>(turn->second.maxTokens_.value_) + 1)) };
        turn = running_.erase(turn);
    }
    auto isOfWriter = [writer](const Operation& operation) { return operation.writer_ == writer; };
    operations_.erase(std::remove_if(operations_.begin(), operations_.end(), isOfWriter), operations_.end());
    WriterId id = writers_[writer].writer_;
    writers_[writer] = {};
    writers_[writer].writer_ = faults_.keepsIdAfterCrash_
        ? id
        : WriterId { "vm-" + std::to_string(writer) + writerIdSeparator
              + std::to_string(++lastIncarnation_) };
}

void EscrowSimulator::applyEffects(std::size_t writer, const EscrowEffects& effects)
{
    for (const EscrowEffect& effect : effects) {
        if (const auto* write = std::get_if<WriteClaim>(&effect)) {
            operations_.push_back({ writer, *write });
            if (faults_.usesClaimBeforeWrite_ && write->isNeeded_) {
                operations_.pop_back();
                applyEffects(
                    writer, onClaimWritten(writers_[writer], program_, write->claim_, othersOf(writer), now));
                store_[claimKey(program_, writers_[writer].writer_)]
                    = {}; // The actual claim arrives much later.
            }
            continue;
        }
        const auto* decided = std::get_if<DecideTurn>(&effect);
        if (!decided)
            continue;
        Turn turn = requested_.at(decided->turn_);
        requested_.erase(decided->turn_);
        if (decided->decision_ == TurnDecision::Granted) {
            ++granted_;
            running_[decided->turn_] = turn;
        }
        if (decided->decision_ == TurnDecision::BudgetSpent && generated_ + turn.maxTokens_ <= budget_)
            ++wrongRefusals_;
    }
}

} // namespace fescue::test
