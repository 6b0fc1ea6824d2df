#include "RecordEvents.h"

#include "EventLog.h"

namespace fescue {

namespace {

    struct RecordSummary {
        const char* name_ = nullptr; ///< Null for records that are not logged.
        ProgramId program_;
        CallNumber call_;
    };

    RecordSummary summarize(const ProgramCreated& record) { return { "program", record.program_, {} }; }
    RecordSummary summarize(const TrancheGranted& record) { return { "tranche", record.program_, {} }; }
    RecordSummary summarize(const CallIntent& record) { return { "intent", record.program_, record.call_ }; }
    RecordSummary summarize(const IntentWithdrawn& record)
    {
        return { "withdrawal", record.program_, record.call_ };
    }
    RecordSummary summarize(const CallFinished& record)
    {
        return { "outcome", record.program_, record.call_ };
    }
    RecordSummary summarize(const ProgramEnded& record) { return { "end", record.program_, {} }; }
    template <typename Other> RecordSummary summarize(const Other&) { return {}; }

    void logRecords(const char* event, const ShardKey& shard, const Batch& batch, LogOffset offset)
    {
        for (const RecordBody& body : batch.records_) {
            RecordSummary summary = std::visit([](const auto& record) { return summarize(record); }, body);
            if (!summary.name_)
                continue;
            LogFields fields { { "record", summary.name_ }, { "program", summary.program_.value_ },
                { "shard", streamOf(shard) }, { "epoch", std::to_string(batch.epoch_.value_) } };
            if (summary.call_.value_ > 0)
                fields.emplace_back("call", std::to_string(summary.call_.value_));
            if (offset.value_ > 0)
                fields.emplace_back("offset", std::to_string(offset.value_));
            logEvent(event, fields);
        }
    }

    LogFields fieldsOf(const ShardKey& shard, const Batch& batch)
    {
        return { { "shard", streamOf(shard) }, { "epoch", std::to_string(batch.epoch_.value_) },
            { "writer", batch.writer_.value_ }, { "sequence", std::to_string(batch.sequence_.value_) },
            { "records", std::to_string(batch.records_.size()) } };
    }

} // namespace

void logBatchAppended(const ShardKey& shard, const Batch& batch)
{
    logRecords("record_appended", shard, batch, {});
    logEvent("batch_appended", fieldsOf(shard, batch));
}

void logBatchRead(const ShardKey& shard, LogOffset offset, const Batch& batch, bool isConfirmed)
{
    LogFields fields = fieldsOf(shard, batch);
    fields.emplace_back("offset", std::to_string(offset.value_));
    logEvent("batch_read", fields);
    if (isConfirmed)
        logRecords("record_confirmed", shard, batch, offset);
}

void logEffect(const ShardKey& shard, const Effect& effect)
{
    if (const auto* execute = std::get_if<ExecuteCall>(&effect))
        logEvent("call_admitted",
            { { "program", execute->call_.program_.value_ },
                { "call", std::to_string(execute->call_.number_.value_) }, { "shard", streamOf(shard) },
                { "epoch", std::to_string(execute->epoch_.value_) } });
    else if (const auto* attach = std::get_if<AttachRequest>(&effect))
        logEvent("call_attached",
            { { "program", attach->program_.value_ }, { "call", std::to_string(attach->call_.value_) },
                { "shard", streamOf(shard) } });
    else if (const auto* release = std::get_if<ReleaseCache>(&effect))
        logEvent("program_ended",
            { { "program", release->program_.value_ }, { "shard", streamOf(shard) },
                { "epoch", std::to_string(release->epoch_.value_) } });
}

} // namespace fescue
