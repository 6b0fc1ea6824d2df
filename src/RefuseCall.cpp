#include "RefuseCall.h"

#include "Problem.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescue {

namespace {

    constexpr int badGateway = 502;
    constexpr int gatewayTimeout = 504;

} // namespace

void refuseCall(FrontReply& reply, const AttemptId& attempt, int status, const std::string& reason,
    std::optional<Milliseconds> retryAfter)
{
    HttpHead head;
    head.status_ = status;
    head.headers_.push_back({ "Content-Type", "application/problem+json" });
    if (retryAfter) {
        constexpr double msPerSecond = 1000;
        head.headers_.push_back(
            { "Retry-After", fmt::format("{:.2f}", static_cast<double>(retryAfter->count()) / msPerSecond) });
    }
    bool wasNotRun = status != badGateway && status != gatewayTimeout;
    nlohmann::json body { { "status", status }, { "detail", reason }, { "request", attempt.value_ },
        { "run", wasNotRun ? nameOf(RunState::NotRun) : nameOf(RunState::Unknown) } };
    reply.answer(std::move(head), body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void rejectCall(ForwardedCall& call, int status, const std::string& reason,
    std::optional<Milliseconds> retryAfter, const LogFields& fields)
{
    LogFields all { { "request", call.tags_.attempt_.value_ }, { "program", call.tags_.program_.value_ },
        { "route", call.route_.name_ }, { "outcome", "refused" }, { "status", std::to_string(status) },
        { "reason", reason } };
    all.insert(all.end(), fields.begin(), fields.end());
    logEvent("request", all);
    refuseCall(*call.reply_, call.tags_.attempt_, status, reason, retryAfter);
}

void logCallerGone(const ForwardedCall& call, const char* reason, const LogFields& fields)
{
    LogFields all { { "request", call.tags_.attempt_.value_ }, { "program", call.tags_.program_.value_ },
        { "outcome", "caller-gone" }, { "reason", reason } };
    all.insert(all.end(), fields.begin(), fields.end());
    logEvent("request", all);
}

} // namespace fescue
