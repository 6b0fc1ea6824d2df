#include "ParseCall.h"

#include "BoundedJson.h"
#include "Digest.h"

#include <algorithm>

namespace fescue {

using nlohmann::json;

namespace {

    tl::unexpected<Problem> problem(ProblemKind kind, std::string detail)
    {
        return tl::make_unexpected(Problem { kind, RunState::NotRun, std::move(detail), std::nullopt });
    }

    std::string fingerprintOf(const RequestFrame& frame)
    {
        return sha256Hex(std::to_string(static_cast<int>(frame.operation_)) + "\n" + frame.service_.value_
            + "\n" + frame.method_ + "\n" + frame.path_ + "\n" + frame.body_);
    }

    Call callOf(const RequestFrame& frame, CallKind kind)
    {
        Call call;
        call.workspace_ = frame.workspace_;
        call.program_ = frame.program_;
        call.number_ = frame.call_;
        call.kind_ = kind;
        call.fingerprint_ = fingerprintOf(frame);
        call.bodySize_ = { static_cast<std::int64_t>(frame.body_.size()) };
        return call;
    }

    bool isMessageList(const json& messages)
    {
        if (!messages.is_array() || messages.empty())
            return false;
        return std::all_of(messages.begin(), messages.end(), [](const json& message) {
            return message.is_object() && message.contains("role") && message["role"].is_string();
        });
    }

    tl::expected<TokenCount, Problem> maxTokensOf(const json& body, const Model& model)
    {
        for (const char* member : { "max_tokens", "max_completion_tokens" }) {
            auto found = body.find(member);
            if (found == body.end() || found->is_null())
                continue;
            if (!found->is_number_integer() || found->get<std::int64_t>() < 1
                || found->get<std::int64_t>() > model.contextLimit_.value_)
                return problem(ProblemKind::BadRequest,
                    std::string("\"") + member + "\" must be an integer from 1 to "
                        + std::to_string(model.contextLimit_.value_));
            return TokenCount { found->get<std::int64_t>() };
        }
        return model.defaultMaxTokens_;
    }

    tl::expected<ParsedCall, Problem> parseModelCall(const RequestFrame& frame, const Manifest& manifest)
    {
        json body = parseBoundedJson(frame.body_);
        if (!body.is_object())
            return problem(ProblemKind::BadRequest,
                "the body must be one JSON object in UTF-8, nested at most " + std::to_string(maxJsonDepth)
                    + " deep");
        if (!body.contains("model") || !body["model"].is_string())
            return problem(ProblemKind::BadRequest, "\"model\" must name a model of the manifest");
        if (!body.contains("messages") || !isMessageList(body["messages"]))
            return problem(ProblemKind::BadRequest,
                "\"messages\" must be a non-empty list of objects, each with a \"role\"");
        if (body.contains("stream") && !body["stream"].is_boolean())
            return problem(ProblemKind::BadRequest, "\"stream\" must be true or false");
        if (body.contains("n") && body["n"] != 1)
            return problem(ProblemKind::BadRequest, "\"n\" must be 1: a program has one history");
        auto model = manifest.models_.find({ body["model"].get<std::string>() });
        if (model == manifest.models_.end())
            return problem(ProblemKind::UnknownModel,
                "model " + body["model"].dump()
                    + " is not in the manifest; publish a section models/<name> for it");
        auto maxTokens = maxTokensOf(body, model->second);
        if (!maxTokens)
            return tl::make_unexpected(maxTokens.error());
        ParsedCall parsed { callOf(frame, CallKind::Model), body.value("stream", false) };
        parsed.call_.messages_ = body["messages"].dump(-1, ' ', false, json::error_handler_t::replace);
        parsed.call_.maxTokens_ = *maxTokens;
        return parsed;
    }

    tl::expected<ParsedCall, Problem> parseServiceCall(const RequestFrame& frame, const Manifest& manifest)
    {
        auto service = manifest.services_.find(frame.service_);
        if (service == manifest.services_.end())
            return problem(ProblemKind::UnknownService,
                "service \"" + frame.service_.value_
                    + "\" is not in the manifest; publish a section services/<name>");
        bool isRepeatableCall = isRepeatable(service->second, frame.method_, frame.path_);
        if (!isRepeatableCall && frame.program_.empty())
            return problem(ProblemKind::NonRepeatableNeedsProgram,
                "this call is not repeatable, so it must belong to a program; create one with POST "
                "/v1/programs and send its id and the call's number");
        return ParsedCall {
            callOf(frame, isRepeatableCall ? CallKind::RepeatableService : CallKind::AtMostOnceService), false
        };
    }

} // namespace

tl::expected<ParsedCall, Problem> parseCall(const RequestFrame& frame, const Manifest& manifest)
{
    if (!frame.program_.empty() && frame.call_.value_ == 0)
        return problem(
            ProblemKind::BadRequest, "a call of a program needs its number, from 1, in Fescue-Call");
    if (frame.operation_ == Operation::ModelCall)
        return parseModelCall(frame, manifest);
    return parseServiceCall(frame, manifest);
}

} // namespace fescue
