#include "RequestTable.h"

#include "ChatStream.h"
#include "EventLog.h"
#include "Metrics.h"

namespace fescue {

namespace {

    constexpr const char* eventStreamType = "text/event-stream";
    constexpr const char* doneEvent = "data: [DONE]\n\n";

    void send(const FrameLinkPtr& link, const Frame& frame)
    {
        if (link)
            link->send(frame);
    }

    std::string durableCallComment(CallNumber durableCall)
    {
        return ": fescue-durable-call " + std::to_string(durableCall.value_) + "\n\n";
    }

    std::vector<std::pair<std::string, std::string>> durableCallHeaders(CallNumber durableCall)
    {
        return { { "Fescue-Durable-Call", std::to_string(durableCall.value_) } };
    }

    LogFields fieldsOf(const RequestFrame& frame)
    {
        LogFields fields { { "request", std::to_string(frame.id_) } };
        if (!frame.program_.empty())
            fields.emplace_back("program", frame.program_.value_);
        if (frame.call_.value_ > 0)
            fields.emplace_back("call", std::to_string(frame.call_.value_));
        return fields;
    }

    void logAnswer(const RequestFrame& frame, int status, RunState run, std::string_view problem)
    {
        LogFields fields = fieldsOf(frame);
        fields.emplace_back("status", std::to_string(status));
        if (!problem.empty()) {
            fields.emplace_back("problem", problem);
            Counter("scheduler_problems_total", { "kind", std::string(problem) }).add();
        }
        if (run != RunState::Final)
            fields.emplace_back("run_state", nameOf(run));
        logEvent("answer_sent", fields);
    }

    void sendComplete(const FrameLinkPtr& link, HeadFrame head, std::string body)
    {
        std::uint64_t id = head.id_;
        send(link, std::move(head));
        send(link, ChunkFrame { id, 0, std::move(body) });
        send(link, EndFrame { id, 1 });
    }

} // namespace

RequestId RequestTable::add(FrameLinkPtr link, RequestFrame frame, bool wantsStream)
{
    logEvent("call_received", fieldsOf(frame));
    Counter("scheduler_requests_total", { "operation", nameOf(frame.operation_) }).add();
    auto entry = std::make_shared<Entry>();
    entry->link_ = std::move(link);
    entry->frame_ = std::make_shared<const RequestFrame>(std::move(frame));
    entry->wantsStream_ = wantsStream;
    std::lock_guard<std::mutex> lock(mutex_);
    ++lastId_;
    entries_[lastId_] = std::move(entry);
    return { lastId_ };
}

std::shared_ptr<const RequestFrame> RequestTable::find(RequestId request) const
{
    std::lock_guard<std::mutex> lock(mutex_);
    auto found = entries_.find(request.value_);
    return found == entries_.end() ? nullptr : found->second->frame_;
}

std::shared_ptr<RequestTable::Entry> RequestTable::take(RequestId request)
{
    std::lock_guard<std::mutex> lock(mutex_);
    auto found = entries_.find(request.value_);
    if (found == entries_.end())
        return nullptr;
    auto entry = std::move(found->second);
    entries_.erase(found);
    return entry;
}

void RequestTable::sendEvents(RequestId request, const std::string& events, CallNumber durableCall)
{
    std::lock_guard<std::mutex> lock(mutex_);
    auto found = entries_.find(request.value_);
    if (found == entries_.end() || !found->second->wantsStream_)
        return;
    Entry& entry = *found->second;
    std::uint64_t id = entry.frame_->id_;
    if (!entry.hasStarted_)
        send(entry.link_, HeadFrame { id, 200, eventStreamType, durableCallHeaders(durableCall) });
    entry.hasStarted_ = true;
    send(entry.link_, ChunkFrame { id, entry.nextChunk_++, events });
}

void RequestTable::sendOutcome(RequestId request, const Outcome& outcome, CallNumber durableCall)
{
    auto entry = take(request);
    if (!entry)
        return;
    logAnswer(*entry->frame_, outcome.status_, outcome.runState_, {});
    std::uint64_t id = entry->frame_->id_;
    bool isStream = entry->wantsStream_ && outcome.status_ == 200;
    if (!isStream && !entry->hasStarted_) {
        HeadFrame head { id, outcome.status_, outcome.contentType_, durableCallHeaders(durableCall) };
        if (outcome.runState_ != RunState::Final)
            head.headers_.emplace_back("Fescue-Run-State", std::string(nameOf(outcome.runState_)));
        sendComplete(entry->link_, std::move(head), outcome.body_);
        return;
    }
    std::string finalEvents = durableCallComment(durableCall) + doneEvent;
    if (!entry->hasStarted_) {
        send(entry->link_, HeadFrame { id, 200, eventStreamType, durableCallHeaders(durableCall) });
        finalEvents = toEventStream(outcome.body_) + finalEvents;
    }
    send(entry->link_, ChunkFrame { id, entry->nextChunk_++, std::move(finalEvents) });
    send(entry->link_, EndFrame { id, entry->nextChunk_ });
}

void RequestTable::sendProblem(RequestId request, const Problem& problem)
{
    auto entry = take(request);
    if (!entry)
        return;
    logAnswer(*entry->frame_, httpStatusOf(problem.kind_), problem.runState_, nameOf(problem.kind_));
    std::uint64_t id = entry->frame_->id_;
    std::string document = toJsonText(problem);
    if (entry->hasStarted_) {
        send(
            entry->link_, ChunkFrame { id, entry->nextChunk_++, "event: error\ndata: " + document + "\n\n" });
        send(entry->link_, EndFrame { id, entry->nextChunk_ });
        return;
    }
    HeadFrame head { id, httpStatusOf(problem.kind_), "application/problem+json", {} };
    head.headers_.emplace_back("Fescue-Run-State", std::string(nameOf(problem.runState_)));
    if (auto seconds = retryAfterSeconds(problem))
        head.headers_.emplace_back("Retry-After", *seconds);
    sendComplete(entry->link_, std::move(head), document);
}

void RequestTable::sendDocument(RequestId request, int status, const std::string& json)
{
    auto entry = take(request);
    if (!entry)
        return;
    logAnswer(*entry->frame_, status, RunState::Final, {});
    sendComplete(entry->link_, HeadFrame { entry->frame_->id_, status, "application/json", {} }, json);
}

void RequestTable::sendMoved(RequestId request, const VmId& to)
{
    auto entry = take(request);
    if (!entry)
        return;
    LogFields fields = fieldsOf(*entry->frame_);
    fields.emplace_back("to", to.value_);
    logEvent("call_moved", fields);
    send(entry->link_, MovedFrame { entry->frame_->id_, to });
}

void RequestTable::detachLink(const FrameLinkPtr& link)
{
    std::lock_guard<std::mutex> lock(mutex_);
    for (auto& [id, entry] : entries_) {
        if (entry->link_ == link)
            entry->link_.reset();
    }
}

std::size_t RequestTable::size() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return entries_.size();
}

} // namespace fescue
