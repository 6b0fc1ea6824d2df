#include "AnswerRelay.h"

#include "Headers.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace fescue {

namespace {

    constexpr std::size_t maxBufferedAnswerBytes = 256 * 1024;
    // Far above the text that engines put into one event.
    constexpr std::size_t maxEventBytes = 256 * 1024;
    // Text of a turn that is kept even when there is no room.
    constexpr std::size_t shortTextBytes = 16 * 1024;
    constexpr int firstError = 300; ///< Statuses below it are successes.

    // Buffers a part of an answer. Returns false if the answer is too large or there is no room for it.
    bool buffer(AnswerRelay& relay, const std::string& part)
    {
        std::size_t size = relay.buffered_.size() + part.size();
        if (size > maxBufferedAnswerBytes)
            return false;
        if (size > relay.reserved_) {
            std::size_t room = std::min(std::max(size, 2 * relay.reserved_), maxBufferedAnswerBytes);
            if (!relay.reply_->reserveForAnswer(room - relay.reserved_))
                return false;
            relay.reserved_ = room;
            relay.buffered_.reserve(room);
        }
        relay.buffered_ += part;
        return true;
    }

    // Feeds the text that is kept of a turn. Returns false if it is long and there is no room for it.
    bool keepData(AnswerRelay& relay, std::string_view part)
    {
        relay.data_->feed(part);
        std::size_t allocated = relay.data_->allocatedBytes();
        allocated -= std::min(allocated, shortTextBytes);
        std::size_t reserved = std::exchange(relay.reservedForData_, allocated);
        if (allocated < reserved)
            relay.reply_->release(reserved - allocated);
        return allocated <= reserved || relay.reply_->reserve(allocated - reserved);
    }

    bool hasEvents(const AnswerRelay& relay)
    {
        constexpr std::string_view eventStream = "text/event-stream";
        if (!relay.isStream_ || !isSuccess(relay.head_))
            return false;
        const std::string* type = findHeader(relay.head_, "Content-Type");
        return !type || equalsIgnoreCase(std::string_view(*type).substr(0, eventStream.size()), eventStream);
    }

    const char* findExcess(const AnswerRelay& relay)
    {
        if (relay.data_ && relay.data_->heldBytes() > relay.maxDataBytes_)
            return "the response is too large to be kept";
        if (!hasEvents(relay))
            return nullptr;
        if (relay.events_.eventBytes_ > maxEventBytes)
            return "an event of the stream is too large";
        bool hasTooMany = relay.maxEvents_ > 0 && relay.events_.startedEvents() > relay.maxEvents_;
        return hasTooMany ? "the stream has more events than the request may generate" : nullptr;
    }

} // namespace

std::int64_t maxEventsOf(TokenCount maxTokens, TokenCount tokensPerEvent)
{
    if (tokensPerEvent.value_ <= 0 || maxTokens.value_ <= 0)
        return 0;
    // Engines round up to whole events, and may send one more that has no tokens.
    return (maxTokens.value_ + tokensPerEvent.value_ - 1) / tokensPerEvent.value_ + 1;
}

bool isSuccess(const HttpHead& answer) { return answer.status_ < firstError; }

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

const char* relayBody(AnswerRelay& relay, std::string part)
{
    if (!relay.hasStarted_) {
        if (buffer(relay, part))
            return nullptr;
        startRelay(relay);
        part.insert(0, relay.buffered_);
        std::string().swap(relay.buffered_);
        relay.reply_->releaseAnswer(std::exchange(relay.reserved_, 0));
    }
    if (relay.isStream_)
        relay.events_.feed(part);
    if (relay.data_ && isSuccess(relay.head_) && !keepData(relay, part)) // A failure is not kept.
        return "this VM has no room for the text of the turn";
    const char* excess = findExcess(relay);
    if (!excess)
        relay.reply_->write(part);
    return excess;
}

std::int64_t relayedEvents(const AnswerRelay& relay)
{
    std::int64_t started = relay.events_.startedEvents();
    return relay.maxEvents_ > 0 ? std::min(started, relay.maxEvents_) : started;
}

const char* findBreak(const AnswerRelay& relay)
{
    if (!hasEvents(relay))
        return nullptr;
    if (relay.events_.isInEvent_)
        return "the stream ended inside an event";
    bool isUnframed = relay.head_.framing_ == BodyFraming::UntilClose;
    return isUnframed && relay.events_.events_ == 0 ? "the stream ended before its first event" : nullptr;
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
