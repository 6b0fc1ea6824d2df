#include "Ledger.h"

#include <algorithm>

namespace fescue {

namespace {

    Program* findProgram(Ledger& ledger, const ProgramId& id)
    {
        auto found = ledger.programs_.find(id);
        return found == ledger.programs_.end() ? nullptr : &found->second;
    }

    void evictOldestEnded(Ledger& ledger)
    {
        while (ledger.ended_.size() > maxEndedPrograms) {
            ledger.programs_.erase(ledger.ended_.front());
            ledger.ended_.pop_front();
        }
    }

    void apply(Ledger&, const Claim&) { }

    void apply(Ledger&, const ShardSnapshot&) { }

    void apply(Ledger& ledger, const ProgramCreated& created)
    {
        Program program;
        program.workspace_ = created.workspace_;
        program.parent_ = created.parent_;
        program.budget_ = created.budget_;
        program.granted_ = created.tranche_;
        ledger.programs_.emplace(created.program_, std::move(program));
    }

    void apply(Ledger& ledger, const TrancheGranted& grant)
    {
        if (Program* program = findProgram(ledger, grant.program_))
            program->granted_ += grant.amount_;
    }

    void apply(Ledger& ledger, const TrancheReturned& returned)
    {
        if (Program* program = findProgram(ledger, returned.program_))
            program->granted_ -= returned.amount_;
    }

    void apply(Ledger& ledger, const CallIntent& intent)
    {
        Program* program = findProgram(ledger, intent.program_);
        if (!program || program->hasEnded_)
            return;
        program->intent_ = OpenIntent { intent.call_, intent.fingerprint_, ledger.epoch_ };
    }

    void apply(Ledger& ledger, const IntentWithdrawn& withdrawn)
    {
        Program* program = findProgram(ledger, withdrawn.program_);
        if (program && program->intent_ && program->intent_->call_ == withdrawn.call_)
            program->intent_.reset();
    }

    void apply(Ledger& ledger, const CallFinished& finished)
    {
        Program* program = findProgram(ledger, finished.program_);
        if (!program || finished.call_ <= program->lastCall_)
            return;
        program->lastCall_ = finished.call_;
        program->offsets_.resize(finished.call_.value_);
        program->offsets_.back() = ledger.lastReadOffset_;
        program->used_ += finished.used_;
        if (!finished.newMessages_.empty()) {
            program->head_ = finished.head_;
            program->contextTokens_ = finished.contextTokens_;
        }
        program->intent_.reset();
        addRecentCall(program->recentCalls_, { finished.call_, finished.fingerprint_, finished.outcome_ });
    }

    void apply(Ledger& ledger, const ProgramEnded& ended)
    {
        Program* program = findProgram(ledger, ended.program_);
        if (!program || program->hasEnded_)
            return;
        program->hasEnded_ = true;
        program->endReason_ = ended.reason_;
        if (Program* parent = findProgram(ledger, program->parent_))
            parent->granted_ -= ended.returnedToParent_;
        ledger.ended_.push_back(ended.program_);
        evictOldestEnded(ledger);
    }

    bool isClaim(const Batch& batch)
    {
        return batch.records_.size() == 1 && std::holds_alternative<Claim>(batch.records_.front());
    }

    bool isDuplicate(Ledger& ledger, const Batch& batch)
    {
        Sequence& last = ledger.lastSequence_[batch.writer_];
        if (batch.sequence_ <= last)
            return true;
        last = batch.sequence_;
        return false;
    }

    // Old writers can be dropped: only the current owner's writer can resend a batch that would be applied.
    // Copies from other writers are fenced by their epoch, and a claim is resent only until its writer has
    // read it.
    void evictOldWriters(Ledger& ledger, const WriterId& newest)
    {
        constexpr std::size_t maxWriters = 16;
        if (ledger.lastSequence_.size() <= maxWriters)
            return;
        Sequence last = ledger.lastSequence_[newest];
        ledger.lastSequence_.clear();
        ledger.lastSequence_[newest] = last;
    }

    void openEpoch(Ledger& ledger, LogOffset offset, const Batch& batch)
    {
        ledger.epoch_ = { offset.value_ };
        ledger.owner_ = std::get<Claim>(batch.records_.front()).owner_;
        ledger.ownerWriter_ = batch.writer_;
        evictOldWriters(ledger, batch.writer_);
    }

} // namespace

void addRecentCall(std::deque<FinishedCall>& recent, FinishedCall finished)
{
    recent.push_back(std::move(finished));
    if (recent.size() > maxRecentCalls)
        recent.pop_front();
}

ApplyResult applyBatch(Ledger& ledger, LogOffset offset, const Batch& batch)
{
    ledger.lastReadOffset_ = offset;
    if (isDuplicate(ledger, batch))
        return ApplyResult::Duplicate;
    if (isClaim(batch)) {
        openEpoch(ledger, offset, batch);
        return ApplyResult::Applied;
    }
    if (batch.epoch_ != ledger.epoch_)
        return ApplyResult::Fenced;
    for (const RecordBody& body : batch.records_)
        std::visit([&ledger](const auto& record) { apply(ledger, record); }, body);
    return ApplyResult::Applied;
}

} // namespace fescue
