#include "AnswerRelay.h"

#include "Headers.h"

#include <fmt/format.h>

namespace fescue {

namespace {

    constexpr std::size_t maxBufferedAnswerBytes = 256 * 1024;

} // namespace

void takeHead(AnswerRelay& relay, const HttpHead& head)
{
    relay.head_ = head;
    relay.buffered_.clear();
}

void startRelay(AnswerRelay& relay)
{
    relay.hasStarted_ = true;
    relay.reply_->begin(platform::encodeCallerAnswer(relay.head_));
}

void relayBody(AnswerRelay& relay, std::string part)
{
    if (!relay.hasStarted_) {
        relay.buffered_ += part;
        if (relay.buffered_.size() <= maxBufferedAnswerBytes)
            return;
        startRelay(relay);
        part = std::move(relay.buffered_);
    }
    if (relay.isStream_)
        relay.events_.feed(part);
    relay.reply_->write(part);
}

void finishRelay(AnswerRelay& relay)
{
    if (relay.hasStarted_)
        relay.reply_->end();
    else
        relay.reply_->answer(platform::encodeCallerAnswer(relay.head_), relay.buffered_);
}

std::string describeEnd(const AnswerRelay& relay)
{
    if (relay.head_.status_ == 0)
        return "none";
    if (!relay.isStream_)
        return nameOf(relay.head_.framing_);
    return fmt::format("{}, {}", nameOf(relay.head_.framing_),
        relay.events_.isInEvent_ ? "inside an event" : "between events");
}

} // namespace fescue
