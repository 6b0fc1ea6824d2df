#include "Engine.h"

#include "WorkQueue.h"

#include <fmt/format.h>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>

namespace fescue::standin {

using nlohmann::json;

namespace {

    constexpr std::string_view cachePath = "/v1/cache/";
    constexpr std::int64_t bytesPerToken = 4;

    std::int64_t tokensOf(const std::string& text)
    {
        return (static_cast<std::int64_t>(text.size()) + bytesPerToken - 1) / bytesPerToken;
    }

    // What the cache holds for one key: its messages, in order.
    struct CacheEntry {
        std::vector<std::string> messages_;
        std::int64_t tokens_ = 0;
        std::uint64_t lastUse_ = 0;
    };

    // One request in the batch.
    struct Running {
        HttpExchangePtr exchange_;
        std::string id_;
        std::string model_;
        std::string key_;
        std::vector<std::string> messages_;
        std::int64_t promptTokens_ = 0;
        std::int64_t cachedTokens_ = 0;
        std::int64_t prefillLeft_ = 0;
        std::int64_t answerTokens_ = 0;
        std::int64_t made_ = 0;
        std::string text_;
        std::string echo_; ///< First word of the answer.
    };

    std::vector<std::string> messagesOf(const json& body)
    {
        std::vector<std::string> messages;
        for (const json& message : body["messages"])
            messages.push_back(message.value("role", "") + ":"
                + (message.contains("content") ? message["content"].dump() : ""));
        return messages;
    }

    // What follows `echo=` in the last message, up to the next space or its end.
    std::string echoOf(const json& body)
    {
        constexpr std::string_view mark = "echo=";
        std::string text = body["messages"].empty() ? "" : body["messages"].back().value("content", "");
        auto at = text.rfind(mark);
        if (at == std::string::npos)
            return {};
        text.erase(0, at + mark.size());
        return text.substr(0, text.find(' '));
    }

    json chunkOf(const Running& running)
    {
        return { { "id", running.id_ }, { "object", "chat.completion.chunk" }, { "created", 0 },
            { "model", running.model_ } };
    }

} // namespace

struct Engine::Impl {
    EngineOptions options_;
    std::mutex mutex_;
    std::map<std::string, CacheEntry> cache_;
    std::list<Running> batch_;
    std::uint64_t uses_ = 0;
    std::uint64_t requests_ = 0;
    std::int64_t cutAfter_ = 0; ///< Break the streams off after so many tokens; 0 for never.
    bool refuses_ = false;
    std::int64_t loseReleases_ = 0; ///< So many orders to free memory are lost.
    std::map<std::string, std::int64_t> used_; ///< Tokens of prompts and answers for each key.
    std::uint64_t steps_ = 0;
    json measured_ { { "running", 0 }, { "waiting", 0 }, { "queued_tokens", 0 } };
    json reported_ = measured_; ///< What `/v1/load` answers.
    WorkQueue work_ { 1 };
    std::unique_ptr<HttpServer> http_;

    std::int64_t cachedPrefix(const Running& running)
    {
        auto found = cache_.find(running.key_);
        if (running.key_.empty() || found == cache_.end())
            return 0;
        found->second.lastUse_ = ++uses_;
        const auto& held = found->second.messages_;
        std::int64_t tokens = 0;
        for (std::size_t i = 0; i < held.size() && i < running.messages_.size(); ++i) {
            if (held[i] != running.messages_[i])
                break;
            tokens += tokensOf(held[i]);
        }
        return tokens;
    }

    std::int64_t cacheSize() const
    {
        std::int64_t total = 0;
        for (const auto& [key, entry] : cache_)
            total += entry.tokens_;
        return total;
    }

    void keep(const Running& running)
    {
        if (running.key_.empty())
            return;
        CacheEntry& entry = cache_[running.key_];
        entry.messages_ = running.messages_;
        entry.messages_.push_back("assistant:" + json(running.text_).dump());
        entry.tokens_ = running.promptTokens_ + running.made_;
        entry.lastUse_ = ++uses_;
        while (cache_.size() > 1 && cacheSize() > options_.cacheTokens_)
            cache_.erase(std::min_element(cache_.begin(), cache_.end(),
                [](const auto& a, const auto& b) { return a.second.lastUse_ < b.second.lastUse_; }));
    }

    void admit(const HttpRequest& request, const HttpExchangePtr& exchange)
    {
        json body = json::parse(request.body_, nullptr, false);
        if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array())
            return exchange->answer({ 400, "application/json", "{\"error\": \"no messages\"}", {} });
        if (refuses_)
            return exchange->answer({ 503, "application/json", "{\"error\": \"full\"}", {} });
        Running running;
        running.exchange_ = exchange;
        running.id_ = fmt::format("chat-{}", ++requests_);
        running.model_ = body.value("model", "");
        running.key_ = body.value("prompt_cache_key", "");
        running.messages_ = messagesOf(body);
        running.echo_ = echoOf(body);
        for (const std::string& message : running.messages_)
            running.promptTokens_ += tokensOf(message);
        used_[running.key_] += running.promptTokens_;
        running.cachedTokens_ = cachedPrefix(running);
        running.prefillLeft_ = running.promptTokens_ - running.cachedTokens_;
        std::int64_t most = body.value("max_tokens", options_.answerTokens_);
        running.answerTokens_
            = options_.ignoresMaxTokens_ ? 4 * most : std::min(most, options_.answerTokens_);
        exchange->begin({ 200, "text/event-stream", {}, {} });
        batch_.push_back(std::move(running));
    }

    void sendToken(Running& running)
    {
        bool isEcho = running.made_ == 0 && !running.echo_.empty();
        std::string word = isEcho ? running.echo_ + " " : fmt::format("w{} ", running.made_);
        ++running.made_;
        ++used_[running.key_];
        running.text_ += word;
        json event = chunkOf(running);
        event["choices"] = json::array({ { { "index", 0 }, { "delta", { { "content", word } } } } });
        running.exchange_->write("data: " + event.dump() + "\n\n");
    }

    void sendEnd(const Running& running)
    {
        json event = chunkOf(running);
        event["choices"]
            = json::array({ { { "index", 0 }, { "delta", json::object() }, { "finish_reason", "stop" } } });
        event["usage"] = { { "prompt_tokens", running.promptTokens_ }, { "completion_tokens", running.made_ },
            { "total_tokens", running.promptTokens_ + running.made_ },
            { "prompt_tokens_details", { { "cached_tokens", running.cachedTokens_ } } } };
        running.exchange_->write("data: " + event.dump() + "\n\ndata: [DONE]\n\n");
        running.exchange_->end();
    }

    // The report lags: it is the state of the last full interval, and is given out for another one.
    void takeLoad()
    {
        if (++steps_ % options_.stepsPerReport_ != 0)
            return;
        reported_ = measured_;
        std::int64_t queued = 0;
        for (const Running& running : batch_)
            queued += running.prefillLeft_;
        measured_ = { { "running", batch_.size() }, { "waiting", 0 }, { "queued_tokens", queued } };
    }

    // One step of the batch: prefill shares a budget of tokens, then each request makes a token.
    void step()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        takeLoad();
        std::int64_t prefill = options_.prefillTokensPerStep_;
        for (auto running = batch_.begin(); running != batch_.end();) {
            std::int64_t share = std::min(prefill, running->prefillLeft_);
            prefill -= share;
            running->prefillLeft_ -= share;
            if (running->prefillLeft_ == 0)
                sendToken(*running);
            bool isCut = cutAfter_ > 0 && running->made_ >= cutAfter_;
            bool isDone = running->made_ >= running->answerTokens_;
            if (!isCut && !isDone) {
                ++running;
                continue;
            }
            if (isDone && !isCut) {
                keep(*running);
                sendEnd(*running);
            } else {
                running->exchange_->end();
            }
            running = batch_.erase(running);
        }
    }

    json cacheDocument() const
    {
        json entries = json::array();
        for (const auto& [key, entry] : cache_)
            entries.push_back({ { "key", key }, { "tokens", entry.tokens_ } });
        return { { "entries", std::move(entries) }, { "tokens", cacheSize() } };
    }

    void takeFaults(const std::string& body)
    {
        json wanted = json::parse(body, nullptr, false);
        if (!wanted.is_object())
            return;
        cutAfter_ = wanted.value("cut_after", cutAfter_);
        refuses_ = wanted.value("refuse", refuses_);
        loseReleases_ = wanted.value("lose_releases", loseReleases_);
    }

    void release(const std::string& key, const HttpExchangePtr& exchange)
    {
        if (loseReleases_ > 0) {
            --loseReleases_;
            return exchange->answer({ 500, "application/json", "{\"error\": \"lost\"}", {} });
        }
        cache_.erase(key);
        exchange->answer({ 200, "application/json", "{}", {} });
    }

    void handle(const HttpRequest& request, const HttpExchangePtr& exchange)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (request.path_ == "/v1/chat/completions")
            return admit(request, exchange);
        if (request.path_ == "/v1/cache")
            return exchange->answer({ 200, "application/json", cacheDocument().dump(), {} });
        if (request.path_.rfind(cachePath, 0) == 0 && request.method_ == "DELETE")
            return release(request.path_.substr(cachePath.size()), exchange);
        if (request.path_ == "/used")
            return exchange->answer({ 200, "application/json", json(used_).dump(), {} });
        if (request.path_ == "/v1/load")
            return exchange->answer({ 200, "application/json", reported_.dump(), {} });
        if (request.path_ == "/faults") {
            takeFaults(request.body_);
            return exchange->answer({ 200, "application/json", "{}", {} });
        }
        exchange->answer({ 404, "application/json", "{\"error\": \"no such path\"}", {} });
    }
};

Engine::Engine(const EngineOptions& options)
    : impl_(std::make_unique<Impl>())
{
    impl_->options_ = options;
    impl_->work_.runEvery(options.step_, [impl = impl_.get()] { impl->step(); });
    impl_->http_ = std::make_unique<HttpServer>(
        options.http_, [impl = impl_.get()](const HttpRequest& request, const HttpExchangePtr& exchange) {
            impl->handle(request, exchange);
        });
}

Engine::~Engine()
{
    impl_->http_.reset();
    impl_->work_.stop();
}

std::uint16_t Engine::port() const { return impl_->http_->port(); }

} // namespace fescue::standin
