#include "Transfer.h"

#include "EventLog.h"
#include "RequestDigest.h"

namespace fescue {

namespace {

    std::string msText(Milliseconds time) { return std::to_string(time.count()); }

} // namespace

const char* nameOf(OutboundResult::ConnectionEnd end)
{
    switch (end) {
    case OutboundResult::ConnectionEnd::Closed:
        return "closed";
    case OutboundResult::ConnectionEnd::Reset:
        return "reset";
    case OutboundResult::ConnectionEnd::Open:
        break;
    }
    return "open";
}

TokenCount generatedTokens(const Transfer& transfer)
{
    return { relayedEvents(transfer.relay_) * transfer.call_.service_.tokensPerEvent_.value_ };
}

void logSend(const Transfer& transfer, const std::string& load, Milliseconds listAge)
{
    const ForwardedCall& call = transfer.call_;
    logEvent("send",
        { { "request", call.tags_.attempt_.value_ }, { "content", textOf(transfer.digest_) },
            { "target", transfer.target_.value_ }, { "version", transfer.version_.value_ },
            { "resumes", call.tags_.resumes_.value_ }, { "attempt", std::to_string(transfer.sends_) },
            { "waited_ms", msText(transfer.sentAt_ - call.request_.arrived_) },
            { "left_ms", msText(call.deadline_ - transfer.sentAt_) }, { "load", load },
            { "list_age_ms", msText(listAge) } });
}

void logRelay(const Transfer& transfer, const char* reason)
{
    const ForwardedCall& call = transfer.call_;
    logEvent("relay",
        { { "request", call.tags_.attempt_.value_ }, { "peer", transfer.relayPeer_.value_ },
            { "attempt", std::to_string(transfer.sends_) },
            { "link_failures", std::to_string(transfer.linkFailures_) },
            { "left_ms", msText(call.deadline_ - transfer.sentAt_) }, { "reason", reason } });
}

void logFinish(
    const Transfer& transfer, const char* outcome, int status, const std::string& reason, MonotonicTime now)
{
    const ForwardedCall& call = transfer.call_;
    logEvent("request",
        { { "request", call.tags_.attempt_.value_ }, { "content", textOf(transfer.digest_) },
            { "program", call.tags_.program_.value_ }, { "route", call.route_.name_ },
            { "service", call.service_.id_.value_ }, { "outcome", outcome },
            { "status", std::to_string(status) }, { "reason", reason }, { "target", transfer.target_.value_ },
            { "relay", transfer.relayPeer_.value_ }, { "sends", std::to_string(transfer.sends_) },
            { "may_have_run", std::to_string(transfer.possibleRuns_) },
            { "total_ms", msText(now - call.request_.arrived_) },
            { "tokens", std::to_string(generatedTokens(transfer).value_) },
            { "answer", describeEnd(transfer.relay_) }, { "connection", nameOf(transfer.connectionEnd_) } });
}

} // namespace fescue
