#include "ChatStream.h"

#include "BoundedJson.h"

namespace fescue {

using nlohmann::json;

namespace {

    constexpr std::string_view dataPrefix = "data:";

    std::string_view dataOf(std::string_view event)
    {
        if (event.substr(0, dataPrefix.size()) != dataPrefix)
            return {};
        event.remove_prefix(dataPrefix.size());
        while (!event.empty() && event.front() == ' ')
            event.remove_prefix(1);
        while (!event.empty() && (event.back() == '\n' || event.back() == '\r'))
            event.remove_suffix(1);
        return event;
    }

    void concatenate(json& into, const json& from, const char* member)
    {
        auto found = from.find(member);
        if (found == from.end() || !found->is_string())
            return;
        std::string previous = into.value(member, std::string());
        into[member] = previous + found->get<std::string>();
    }

    // A tool call arrives in pieces: the first one has its name, later ones append to its arguments.
    void mergeToolCall(json& calls, const json& piece)
    {
        std::size_t index = piece.value("index", 0U);
        constexpr std::size_t maxToolCalls = 1024;
        if (index >= maxToolCalls)
            return;
        while (calls.size() <= index)
            calls.push_back({ { "type", "function" }, { "function", json::object() } });
        json& call = calls[index];
        concatenate(call, piece, "id");
        if (piece.contains("function") && piece["function"].is_object()) {
            concatenate(call["function"], piece["function"], "name");
            concatenate(call["function"], piece["function"], "arguments");
        }
    }

} // namespace

struct ChatStream::Impl {
    std::string pending_;
    json message_ = { { "role", "assistant" }, { "content", "" } };
    json header_;
    json usageObject_;
    std::string finishReason_ = "stop";
    ChatUsage usage_;
    TokenCount contentEvents_;
    bool isDone_ = false;

    void handleDelta(const json& delta)
    {
        concatenate(message_, delta, "content");
        if (delta.contains("tool_calls") && delta["tool_calls"].is_array()) {
            if (!message_.contains("tool_calls"))
                message_["tool_calls"] = json::array();
            for (const json& piece : delta["tool_calls"])
                mergeToolCall(message_["tool_calls"], piece);
        }
        if (delta.contains("content") || delta.contains("tool_calls"))
            contentEvents_ += TokenCount { 1 };
    }

    void handleUsage(const json& usage)
    {
        usageObject_ = usage;
        usage_.prompt_ = { usage.value("prompt_tokens", std::int64_t { 0 }) };
        usage_.completion_ = { usage.value("completion_tokens", std::int64_t { 0 }) };
        if (usage.contains("prompt_tokens_details") && usage["prompt_tokens_details"].is_object())
            usage_.cached_ = { usage["prompt_tokens_details"].value("cached_tokens", std::int64_t { 0 }) };
    }

    void handleObject(const json& object)
    {
        if (header_.is_null())
            header_ = { { "id", object.value("id", "") }, { "model", object.value("model", "") },
                { "created", object.value("created", 0) } };
        if (object.contains("usage") && object["usage"].is_object())
            handleUsage(object["usage"]);
        if (!object.contains("choices") || !object["choices"].is_array() || object["choices"].empty())
            return;
        const json& choice = object["choices"][0];
        if (choice.contains("delta") && choice["delta"].is_object())
            handleDelta(choice["delta"]);
        if (choice.contains("finish_reason") && choice["finish_reason"].is_string())
            finishReason_ = choice["finish_reason"].get<std::string>();
    }

    void handleEvent(const std::string& event, std::vector<std::string>& events)
    {
        std::string_view data = dataOf(event);
        if (data == "[DONE]") {
            isDone_ = true;
            return;
        }
        if (data.empty())
            return;
        json object = data.size() < uncheckedJsonBytes ? json::parse(data, nullptr, false)
                                                       : parseBoundedJson(std::string(data));
        if (!object.is_object())
            return;
        try {
            handleObject(object);
        } catch (const json::exception&) {
            return; // A member has an unexpected type; the event is dropped.
        }
        events.push_back(event);
    }
};

ChatStream::ChatStream()
    : impl_(std::make_unique<Impl>())
{
}

ChatStream::~ChatStream() = default;
ChatStream::ChatStream(ChatStream&&) noexcept = default;
ChatStream& ChatStream::operator=(ChatStream&&) noexcept = default;

std::vector<std::string> ChatStream::feed(std::string_view bytes)
{
    constexpr std::string_view eventEnd = "\n\n";
    std::vector<std::string> events;
    // What was searched before is not searched again, since an event may come in many parts.
    std::size_t from = impl_->pending_.empty() ? 0 : impl_->pending_.size() - 1;
    impl_->pending_.append(bytes);
    for (;; from = 0) {
        auto end = impl_->pending_.find(eventEnd, from);
        if (end == std::string::npos)
            return events;
        std::string event = impl_->pending_.substr(0, end + 2);
        impl_->pending_.erase(0, end + 2);
        impl_->handleEvent(event, events);
    }
}

bool ChatStream::isDone() const { return impl_->isDone_; }

TokenCount ChatStream::contentEvents() const { return impl_->contentEvents_; }

ChatUsage ChatStream::usage() const { return impl_->usage_; }

std::string ChatStream::message() const
{
    return impl_->message_.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string ChatStream::completion() const
{
    json object = impl_->header_.is_object() ? impl_->header_ : json::object();
    object["object"] = "chat.completion";
    object["choices"] = json::array(
        { { { "index", 0 }, { "message", impl_->message_ }, { "finish_reason", impl_->finishReason_ } } });
    object["usage"] = impl_->usageObject_;
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string toEventStream(const std::string& completion)
{
    json object = parseBoundedJson(completion);
    if (!object.is_object() || !object.contains("choices") || object["choices"].empty())
        return {};
    json choice = object["choices"][0];
    json event = object;
    event["object"] = "chat.completion.chunk";
    event["choices"] = json::array({ { { "index", 0 }, { "delta", choice.value("message", json::object()) },
        { "finish_reason", choice.value("finish_reason", "stop") } } });
    return "data: " + event.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

} // namespace fescue
