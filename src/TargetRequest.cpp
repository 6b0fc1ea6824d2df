#include "TargetRequest.h"

#include <nlohmann/json.hpp>

namespace fescue {

using nlohmann::json;

namespace {

    void addFencing(std::vector<std::string>& headers, const ProgramId& program, Epoch epoch)
    {
        auto shard = shardOf(program);
        if (!shard || epoch.value_ == 0)
            return;
        headers.push_back("Fencing-Scope: " + streamOf(*shard));
        headers.push_back("Fencing-Token: " + std::to_string(epoch.value_));
    }

} // namespace

ModelId modelOf(const RequestFrame& frame)
{
    json body = json::parse(frame.body_, nullptr, false);
    return { body.is_object() && body.contains("model") && body["model"].is_string()
            ? body["model"].get<std::string>()
            : std::string() };
}

HttpCall modelRequest(
    const RequestFrame& frame, const ExecuteCall& execute, const Target& target, Milliseconds timeout)
{
    json body = json::parse(frame.body_, nullptr, false);
    body["stream"] = true;
    body["stream_options"] = { { "include_usage", true } };
    body["max_tokens"] = execute.call_.maxTokens_.value_;
    body.erase("max_completion_tokens");
    if (!execute.call_.program_.empty())
        body["prompt_cache_key"] = execute.call_.program_.value_;
    HttpCall call;
    call.method_ = "POST";
    call.url_ = target.url_ + "/v1/chat/completions";
    call.headers_ = { "Content-Type: application/json" };
    addFencing(call.headers_, execute.call_.program_, execute.epoch_);
    call.body_ = body.dump(-1, ' ', false, json::error_handler_t::replace);
    call.timeout_ = timeout;
    // About one event a token, with some text around it; see `ChatStream`.
    constexpr std::int64_t maxBytesPerToken = 1024;
    call.maxBody_ += ByteCount { execute.call_.maxTokens_.value_ * maxBytesPerToken };
    return call;
}

HttpCall serviceRequest(
    const RequestFrame& frame, const ExecuteCall& execute, const Target& target, const Service* service)
{
    const Call& wanted = execute.call_;
    HttpCall call;
    call.method_ = frame.method_;
    call.url_ = target.url_ + frame.path_;
    if (!frame.contentType_.empty())
        call.headers_.push_back("Content-Type: " + frame.contentType_);
    if (!wanted.program_.empty())
        call.headers_.push_back("Idempotency-Key: \"" + wanted.program_.value_ + "/"
            + std::to_string(wanted.number_.value_) + "\"");
    addFencing(call.headers_, wanted.program_, execute.epoch_);
    call.body_ = frame.body_;
    if (service)
        call.timeout_ = service->timeout_;
    call.isAtMostOnce_ = wanted.kind_ == CallKind::AtMostOnceService;
    call.sendDeadline_ = execute.sendDeadline_;
    return call;
}

HttpCall releaseRequest(const ProgramId& program, Epoch epoch, const Target& target)
{
    HttpCall call;
    call.method_ = "DELETE";
    call.url_ = target.url_ + "/v1/cache/" + program.value_;
    addFencing(call.headers_, program, epoch);
    return call;
}

HttpCall loadRequest(const Target& target)
{
    HttpCall call;
    call.url_ = target.url_ + "/v1/load";
    call.timeout_ = Milliseconds { 2000 };
    return call;
}

} // namespace fescue
