#include "Record.h"

#include <nlohmann/json.hpp>

namespace fescue {

using nlohmann::json;

namespace {

    json toJson(const Claim& claim) { return { { "kind", "claim" }, { "owner", claim.owner_.value_ } }; }

    json toJson(const ProgramCreated& created)
    {
        return { { "kind", "created" }, { "program", created.program_.value_ },
            { "workspace", created.workspace_.value_ }, { "parent", created.parent_.value_ },
            { "budget", created.budget_.value_ }, { "tranche", created.tranche_.value_ } };
    }

    json toJson(const TrancheGranted& grant)
    {
        return { { "kind", "granted" }, { "program", grant.program_.value_ },
            { "amount", grant.amount_.value_ } };
    }

    json toJson(const TrancheReturned& returned)
    {
        return { { "kind", "returned" }, { "program", returned.program_.value_ },
            { "amount", returned.amount_.value_ } };
    }

    json toJson(const CallIntent& intent)
    {
        return { { "kind", "intent" }, { "program", intent.program_.value_ }, { "call", intent.call_.value_ },
            { "fingerprint", intent.fingerprint_ } };
    }

    json toJson(const IntentWithdrawn& withdrawn)
    {
        return { { "kind", "withdrawn" }, { "program", withdrawn.program_.value_ },
            { "call", withdrawn.call_.value_ } };
    }

    json toJson(const CallFinished& finished)
    {
        return { { "kind", "finished" }, { "program", finished.program_.value_ },
            { "call", finished.call_.value_ }, { "fingerprint", finished.fingerprint_ },
            { "status", finished.outcome_.status_ }, { "content_type", finished.outcome_.contentType_ },
            { "body", finished.outcome_.body_ }, { "run_state", nameOf(finished.outcome_.runState_) },
            { "used", finished.used_.value_ }, { "context_tokens", finished.contextTokens_.value_ },
            { "messages", finished.head_.messages_ }, { "digest", finished.head_.digest_ },
            { "new_messages", finished.newMessages_ } };
    }

    json toJson(const ProgramEnded& ended)
    {
        return { { "kind", "ended" }, { "program", ended.program_.value_ }, { "reason", ended.reason_ },
            { "returned_to_parent", ended.returnedToParent_.value_ } };
    }

    json toJson(const ShardSnapshot& snapshot)
    {
        return { { "kind", "snapshot" }, { "as_of", snapshot.asOf_.value_ }, { "state", snapshot.state_ } };
    }

    TokenCount tokensAt(const json& object, const char* member)
    {
        return { object.at(member).get<std::int64_t>() };
    }

    ProgramId programAt(const json& object) { return { object.at("program").get<std::string>() }; }

    CallNumber callAt(const json& object) { return { object.at("call").get<std::uint32_t>() }; }

    CallFinished parseFinished(const json& object)
    {
        Outcome outcome { object.at("status").get<int>(), object.at("content_type").get<std::string>(),
            object.at("body").get<std::string>(),
            parseRunState(object.at("run_state").get<std::string>()).value_or(RunState::Unknown) };
        TranscriptHead head { object.at("messages").get<std::uint32_t>(),
            object.at("digest").get<std::string>() };
        return { programAt(object), callAt(object), object.at("fingerprint").get<std::string>(), outcome,
            tokensAt(object, "used"), tokensAt(object, "context_tokens"), head,
            object.at("new_messages").get<std::string>() };
    }

    tl::expected<RecordBody, RecordError> parseBody(const json& object)
    {
        auto kind = object.at("kind").get<std::string>();
        if (kind == "claim")
            return Claim { { object.at("owner").get<std::string>() } };
        if (kind == "created")
            return ProgramCreated { programAt(object), { object.at("workspace").get<std::string>() },
                { object.at("parent").get<std::string>() }, tokensAt(object, "budget"),
                tokensAt(object, "tranche") };
        if (kind == "granted")
            return TrancheGranted { programAt(object), tokensAt(object, "amount") };
        if (kind == "returned")
            return TrancheReturned { programAt(object), tokensAt(object, "amount") };
        if (kind == "intent")
            return CallIntent { programAt(object), callAt(object),
                object.at("fingerprint").get<std::string>() };
        if (kind == "withdrawn")
            return IntentWithdrawn { programAt(object), callAt(object) };
        if (kind == "finished")
            return parseFinished(object);
        if (kind == "ended")
            return ProgramEnded { programAt(object), object.at("reason").get<std::string>(),
                tokensAt(object, "returned_to_parent") };
        if (kind == "snapshot")
            return ShardSnapshot { { object.at("as_of").get<std::uint64_t>() },
                object.at("state").get<std::string>() };
        return tl::make_unexpected(RecordError { "unknown record kind \"" + kind + "\"" });
    }

} // namespace

std::string toJsonText(const Batch& batch)
{
    json records = json::array();
    for (const RecordBody& body : batch.records_)
        records.push_back(std::visit([](const auto& record) { return toJson(record); }, body));
    json document = { { "writer", batch.writer_.value_ }, { "seq", batch.sequence_.value_ },
        { "epoch", batch.epoch_.value_ }, { "records", std::move(records) } };
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

tl::expected<Batch, RecordError> parseBatch(const std::string& text)
{
    try {
        json document = json::parse(text);
        Batch batch { { document.at("writer").get<std::string>() },
            { document.at("seq").get<std::uint64_t>() }, { document.at("epoch").get<std::uint64_t>() }, {} };
        for (const json& object : document.at("records")) {
            auto body = parseBody(object);
            if (!body)
                return tl::make_unexpected(body.error());
            batch.records_.push_back(std::move(*body));
        }
        return batch;
    } catch (const json::exception& error) {
        return tl::make_unexpected(RecordError { error.what() });
    }
}

} // namespace fescue
