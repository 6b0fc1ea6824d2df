#include "TurnContinuation.h"

#include "Authentication.h"
#include "BootClock.h"
#include "RefuseCall.h"

#include <algorithm>

namespace fescue {

namespace {

    // A caller whose conversation is not found by then does better to ask another VM.
    constexpr Milliseconds maxSearchTime { 1200 };
    constexpr Milliseconds unknownTurnRetryAfter { 300 };
    constexpr Milliseconds noRoomRetryAfter { 200 };
    constexpr int badRequest = 400;
    constexpr int notFound = 404;
    constexpr int contentTooLarge = 413;
    constexpr int serviceUnavailable = 503;

    void rejectUnfound(ForwardedCall& call, ChainStatus status)
    {
        LogFields fields { { "continues", call.tags_.previousTurn_.value_ } };
        if (status == ChainStatus::Absent)
            return rejectCall(call, notFound,
                "the turn that this one continues from does not exist, or is no longer kept; begin a new "
                "conversation",
                std::nullopt, fields);
        rejectCall(call, serviceUnavailable,
            "the turn that this one continues from cannot be read now; send the request again",
            unknownTurnRetryAfter, fields);
    }

} // namespace

TurnContinuation::TurnContinuation(ConversationStore& conversations)
    : conversations_(conversations)
{
}

void TurnContinuation::begin(ForwardedCall call, std::size_t maxBodyBytes, OnReady ready)
{
    if (call.tags_.attempt_.empty())
        return rejectCall(call, badRequest,
            "the request has no id, so no later turn could continue from it; send one", std::nullopt);
    if (!conversations_.canKeep(call.request_.body_.size()))
        return rejectCall(call, contentTooLarge,
            "the input of one turn is too large to be kept; split it into several turns", std::nullopt);
    if (call.tags_.previousTurn_.empty())
        return complete(std::move(call), {}, maxBodyBytes, ready);
    auto waiting = std::make_shared<ForwardedCall>(std::move(call));
    auto isGone = watchDisconnect(*waiting->reply_);
    // A turn of another workspace is not found.
    ChainSearch search { idWithin(waiting->workspace_, waiting->tags_.previousTurn_), waiting->tags_.attempt_,
        waiting->tags_.program_, std::min(waiting->deadline_, bootNow() + maxSearchTime) };
    conversations_.find(
        search, [this, waiting, isGone, maxBodyBytes, ready = std::move(ready)](const ChainReply& found) {
            if (*isGone)
                return logCallerGone(
                    *waiting, "the caller disconnected while the turn that it continues from was sought");
            if (found.status_ != ChainStatus::Found)
                return rejectUnfound(*waiting, found.status_);
            complete(std::move(*waiting), found.chain_, maxBodyBytes, ready);
        });
}

void TurnContinuation::complete(
    ForwardedCall call, const TurnChain& chain, std::size_t maxBodyBytes, const OnReady& ready)
{
    auto turn = std::make_shared<KeptTurn>();
    turn->id_ = idWithin(call.workspace_, call.tags_.attempt_);
    turn->ancestors_ = idsOf(chain);
    turn->input_ = call.request_.body_;
    std::size_t bytes = textBytes(chain);
    if (bytes + call.request_.body_.size() > maxBodyBytes)
        return rejectCall(call, contentTooLarge,
            "the conversation has grown beyond the maximum size of a request; begin a new one", std::nullopt);
    if (!call.reply_->reserve(costOfBody(bytes)))
        return rejectCall(call, serviceUnavailable,
            "this VM has no room for the conversation now; send the request again", noRoomRetryAfter);
    call.request_.body_.insert(0, textOf(chain));
    call.maxOutputBytes_ = conversations_.maxOutputBytes();
    call.onWhole_
        = [this, turn, chain, program = call.tags_.program_, retention = call.route_.programRetention_,
              deadline = call.deadline_](const std::string& output, std::function<void(bool)> done) {
              turn->output_ = output;
              conversations_.keep({ turn, chain, program, retention, deadline }, std::move(done));
          };
    ready(std::move(call));
}

} // namespace fescue
