#include "LedgerSnapshot.h"

#include "ShardLog.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescue {

using nlohmann::json;

namespace {

    json toJson(const FinishedCall& finished)
    {
        const Outcome& outcome = finished.outcome_;
        return { { "call", finished.call_.value_ }, { "fingerprint", finished.fingerprint_ },
            { "status", outcome.status_ }, { "content_type", outcome.contentType_ },
            { "body", outcome.body_ }, { "run_state", nameOf(outcome.runState_) } };
    }

    FinishedCall parseFinished(const json& object)
    {
        Outcome outcome { object.at("status").get<int>(), object.at("content_type").get<std::string>(),
            object.at("body").get<std::string>(),
            parseRunState(object.at("run_state").get<std::string>()).value_or(RunState::Unknown) };
        return { { object.at("call").get<std::uint32_t>() }, object.at("fingerprint").get<std::string>(),
            std::move(outcome) };
    }

    json toJson(const Program& program)
    {
        json recent = json::array();
        for (const FinishedCall& finished : program.recentCalls_)
            recent.push_back(toJson(finished));
        json offsets = json::array();
        for (LogOffset offset : program.offsets_)
            offsets.push_back(offset.value_);
        json object { { "workspace", program.workspace_.value_ }, { "parent", program.parent_.value_ },
            { "budget", program.budget_.value_ }, { "granted", program.granted_.value_ },
            { "used", program.used_.value_ }, { "context_tokens", program.contextTokens_.value_ },
            { "last_call", program.lastCall_.value_ }, { "messages", program.head_.messages_ },
            { "digest", program.head_.digest_ }, { "recent", std::move(recent) },
            { "offsets", std::move(offsets) }, { "ended", program.hasEnded_ },
            { "end_reason", program.endReason_ } };
        if (program.intent_)
            object["intent"] = { { "call", program.intent_->call_.value_ },
                { "fingerprint", program.intent_->fingerprint_ },
                { "epoch", program.intent_->epoch_.value_ } };
        return object;
    }

    TokenCount tokensAt(const json& object, const char* member)
    {
        return { object.at(member).get<std::int64_t>() };
    }

    Program parseProgram(const json& object)
    {
        Program program;
        program.workspace_ = { object.at("workspace").get<std::string>() };
        program.parent_ = { object.at("parent").get<std::string>() };
        program.budget_ = tokensAt(object, "budget");
        program.granted_ = tokensAt(object, "granted");
        program.used_ = tokensAt(object, "used");
        program.contextTokens_ = tokensAt(object, "context_tokens");
        program.lastCall_ = { object.at("last_call").get<std::uint32_t>() };
        program.head_
            = { object.at("messages").get<std::uint32_t>(), object.at("digest").get<std::string>() };
        for (const json& finished : object.at("recent"))
            program.recentCalls_.push_back(parseFinished(finished));
        for (const json& offset : object.at("offsets"))
            program.offsets_.push_back({ offset.get<std::uint64_t>() });
        program.hasEnded_ = object.at("ended").get<bool>();
        program.endReason_ = object.at("end_reason").get<std::string>();
        auto intent = object.find("intent");
        if (intent != object.end())
            program.intent_ = OpenIntent { { intent->at("call").get<std::uint32_t>() },
                intent->at("fingerprint").get<std::string>(), { intent->at("epoch").get<std::uint64_t>() } };
        return program;
    }

    Ledger parseMembers(const json& object)
    {
        Ledger ledger;
        ledger.shard_
            = { { object.at("zone").get<std::string>() }, { object.at("shard").get<std::uint32_t>() } };
        ledger.lastReadOffset_ = { object.at("read_to").get<std::uint64_t>() };
        ledger.epoch_ = { object.at("epoch").get<std::uint64_t>() };
        ledger.owner_ = { object.at("owner").get<std::string>() };
        ledger.ownerWriter_ = { object.at("owner_writer").get<std::string>() };
        ledger.isComplete_ = object.at("complete").get<bool>();
        for (const auto& [writer, sequence] : object.at("sequences").items())
            ledger.lastSequence_[{ writer }] = { sequence.get<std::uint64_t>() };
        for (const auto& [id, program] : object.at("programs").items())
            ledger.programs_[{ id }] = parseProgram(program);
        for (const json& id : object.at("ended"))
            ledger.ended_.push_back({ id.get<std::string>() });
        return ledger;
    }

    // Returns the state of a snapshot in the batch that covers everything before `first`.
    std::optional<Ledger> findUsableSnapshot(const Batch& batch, LogOffset first)
    {
        for (const RecordBody& body : batch.records_) {
            const auto* snapshot = std::get_if<ShardSnapshot>(&body);
            if (!snapshot || snapshot->asOf_ + LogOffset { 1 } < first)
                continue;
            auto ledger = parseLedger(snapshot->state_);
            if (ledger && ledger->lastReadOffset_ == snapshot->asOf_)
                return std::move(*ledger);
        }
        return std::nullopt;
    }

    void replayBufferedEntries(Shard& shard, Ledger ledger)
    {
        shard.ledger_ = std::move(ledger);
        std::vector<BufferedEntry> entries = std::move(shard.gapRecovery_->entries_);
        shard.gapRecovery_.reset();
        for (const BufferedEntry& entry : entries) {
            if (entry.offset_ > shard.ledger_.lastReadOffset_)
                applyBatch(shard.ledger_, entry.offset_, entry.batch_);
        }
    }

} // namespace

std::string toJsonText(const Ledger& ledger)
{
    json sequences = json::object();
    for (const auto& [writer, sequence] : ledger.lastSequence_)
        sequences[writer.value_] = sequence.value_;
    json programs = json::object();
    for (const auto& [id, program] : ledger.programs_)
        programs[id.value_] = toJson(program);
    json ended = json::array();
    for (const ProgramId& id : ledger.ended_)
        ended.push_back(id.value_);
    json document { { "zone", ledger.shard_.zone_.value_ }, { "shard", ledger.shard_.index_.value_ },
        { "read_to", ledger.lastReadOffset_.value_ }, { "epoch", ledger.epoch_.value_ },
        { "owner", ledger.owner_.value_ }, { "owner_writer", ledger.ownerWriter_.value_ },
        { "complete", ledger.isComplete_ }, { "sequences", std::move(sequences) },
        { "programs", std::move(programs) }, { "ended", std::move(ended) } };
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

tl::expected<Ledger, RecordError> parseLedger(const std::string& text)
{
    try {
        return parseMembers(json::parse(text));
    } catch (const json::exception& error) {
        return tl::make_unexpected(RecordError { error.what() });
    }
}

bool isSnapshotDue(const Shard& shard, const ShardContext& context)
{
    if (shard.epoch_.value_ == 0 || shard.isLogDown_ || isOutboxFull(shard, context.limits_))
        return false;
    if (!shard.snapshotAt_)
        return true;
    bool hasManyEntries = shard.ledger_.lastReadOffset_
        >= *shard.snapshotAt_ + LogOffset { context.limits_.maxEntriesPerSnapshot_ };
    return hasManyEntries || context.now_ - shard.snapshotTime_ >= context.limits_.snapshotInterval_;
}

void recordSnapshot(Shard& shard, const ShardContext& context)
{
    shard.snapshotAt_ = shard.ledger_.lastReadOffset_;
    shard.snapshotTime_ = context.now_;
    enqueueRecord(shard, ShardSnapshot { shard.ledger_.lastReadOffset_, toJsonText(shard.ledger_) });
}

Effects startGapRecovery(Shard& shard, LogOffset first)
{
    Effects effects;
    if (shard.epoch_.value_ != 0)
        effects = loseOwnership(shard);
    shard.inFlight_.reset();
    ShardKey key = shard.ledger_.shard_;
    shard.ledger_ = Ledger {};
    shard.ledger_.shard_ = key;
    shard.ledger_.lastReadOffset_ = { first.value_ - 1 };
    shard.gapRecovery_ = GapRecovery { first, {} };
    return effects;
}

bool applyDuringGapRecovery(Shard& shard, LogOffset offset, const Batch& batch)
{
    shard.ledger_.lastReadOffset_ = offset;
    shard.gapRecovery_->entries_.push_back({ offset, batch });
    auto state = findUsableSnapshot(batch, shard.gapRecovery_->first_);
    if (!state)
        return false;
    replayBufferedEntries(shard, std::move(*state));
    return true;
}

void abandonGapRecovery(Shard& shard)
{
    Ledger ledger;
    ledger.shard_ = shard.ledger_.shard_;
    ledger.isComplete_ = false;
    replayBufferedEntries(shard, std::move(ledger));
    shard.ledger_.programs_.clear();
    shard.ledger_.ended_.clear();
}

} // namespace fescue
