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

    std::int64_t countTokens(const std::string& text)
    {
        return (static_cast<std::int64_t>(text.size()) + bytesPerToken - 1) / bytesPerToken;
    }

    // Cached prefix of one `prompt_cache_key`: its messages in order.
    struct CacheEntry {
        std::vector<std::string> messages_;
        std::int64_t tokens_ = 0;
        std::uint64_t lastUseCount_ = 0;
    };

    // One request in the batch.
    struct RunningRequest {
        HttpExchangePtr exchange_;
        std::string id_;
        std::string model_;
        std::string key_;
        std::vector<std::string> messages_;
        std::int64_t promptTokens_ = 0;
        std::int64_t cachedTokens_ = 0;
        std::int64_t remainingPrefillTokens_ = 0;
        std::int64_t answerTokens_ = 0;
        std::int64_t generatedTokens_ = 0;
        std::string text_;
        std::string echo_; ///< First word of the answer, or empty.
    };

    std::vector<std::string> messagesOf(const json& body)
    {
        std::vector<std::string> messages;
        for (const json& message : body["messages"])
            messages.push_back(message.value("role", "") + ":"
                + (message.contains("content") ? message["content"].dump() : ""));
        return messages;
    }

    // Returns the text after `echo=` in the last message, up to the next space or the end of the message.
    std::string echoOf(const json& body)
    {
        constexpr std::string_view marker = "echo=";
        std::string text = body["messages"].empty() ? "" : body["messages"].back().value("content", "");
        auto at = text.rfind(marker);
        if (at == std::string::npos)
            return {};
        text.erase(0, at + marker.size());
        return text.substr(0, text.find(' '));
    }

    json chunkOf(const RunningRequest& running)
    {
        return { { "id", running.id_ }, { "object", "chat.completion.chunk" }, { "created", 0 },
            { "model", running.model_ } };
    }

} // namespace

struct Engine::Impl {
    EngineOptions options_;
    std::mutex mutex_;
    std::map<std::string, CacheEntry> cache_;
    std::list<RunningRequest> batch_;
    std::uint64_t useCount_ = 0;
    std::uint64_t requests_ = 0;
    std::int64_t truncateAfterTokens_ = 0; ///< Truncates each stream after this many tokens; 0 disables it.
    bool rejectsRequests_ = false;
    std::int64_t releasesToDrop_ = 0; ///< Number of upcoming cache releases that fail with status 500.
    std::map<std::string, std::int64_t> usedTokens_; ///< Prompt and answer tokens by cache key.
    std::uint64_t steps_ = 0;
    json currentLoad_ { { "running", 0 }, { "waiting", 0 }, { "queued_tokens", 0 } };
    json reportedLoad_ = currentLoad_; ///< Response of `/v1/load`.
    WorkQueue work_ { 1 };
    std::unique_ptr<HttpServer> http_;

    std::int64_t countCachedPrefixTokens(const RunningRequest& running)
    {
        auto found = cache_.find(running.key_);
        if (running.key_.empty() || found == cache_.end())
            return 0;
        found->second.lastUseCount_ = ++useCount_;
        const auto& cachedMessages = found->second.messages_;
        std::int64_t tokens = 0;
        for (std::size_t i = 0; i < cachedMessages.size() && i < running.messages_.size(); ++i) {
            if (cachedMessages[i] != running.messages_[i])
                break;
            tokens += countTokens(cachedMessages[i]);
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

    void cachePrompt(const RunningRequest& running)
    {
        if (running.key_.empty())
            return;
        CacheEntry& entry = cache_[running.key_];
        entry.messages_ = running.messages_;
        entry.messages_.push_back("assistant:" + json(running.text_).dump());
        entry.tokens_ = running.promptTokens_ + running.generatedTokens_;
        entry.lastUseCount_ = ++useCount_;
        while (cache_.size() > 1 && cacheSize() > options_.cacheTokens_)
            cache_.erase(std::min_element(cache_.begin(), cache_.end(), [](const auto& a, const auto& b) {
                return a.second.lastUseCount_ < b.second.lastUseCount_;
            }));
    }

    void admit(const HttpRequest& request, const HttpExchangePtr& exchange)
    {
        json body = json::parse(request.body_, nullptr, false);
        if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array())
            return exchange->answer({ 400, "application/json", "{\"error\": \"no messages\"}", {} });
        if (rejectsRequests_)
            return exchange->answer({ 503, "application/json", "{\"error\": \"full\"}", {} });
        RunningRequest running;
        running.exchange_ = exchange;
        running.id_ = fmt::format("chat-{}", ++requests_);
        running.model_ = body.value("model", "");
        running.key_ = body.value("prompt_cache_key", "");
        running.messages_ = messagesOf(body);
        running.echo_ = echoOf(body);
        for (const std::string& message : running.messages_)
            running.promptTokens_ += countTokens(message);
        usedTokens_[running.key_] += running.promptTokens_;
        running.cachedTokens_ = countCachedPrefixTokens(running);
        running.remainingPrefillTokens_ = running.promptTokens_ - running.cachedTokens_;
        std::int64_t maxTokens = body.value("max_tokens", options_.answerTokens_);
        running.answerTokens_
            = options_.ignoresMaxTokens_ ? 4 * maxTokens : std::min(maxTokens, options_.answerTokens_);
        exchange->begin({ 200, "text/event-stream", {}, {} });
        batch_.push_back(std::move(running));
    }

    void sendToken(RunningRequest& running)
    {
        bool isEcho = running.generatedTokens_ == 0 && !running.echo_.empty();
        std::string word = isEcho ? running.echo_ + " " : fmt::format("w{} ", running.generatedTokens_);
        ++running.generatedTokens_;
        ++usedTokens_[running.key_];
        running.text_ += word;
        json event = chunkOf(running);
        event["choices"] = json::array({ { { "index", 0 }, { "delta", { { "content", word } } } } });
        running.exchange_->write("data: " + event.dump() + "\n\n");
    }

    void sendEnd(const RunningRequest& running)
    {
        json event = chunkOf(running);
        event["choices"]
            = json::array({ { { "index", 0 }, { "delta", json::object() }, { "finish_reason", "stop" } } });
        event["usage"]
            = { { "prompt_tokens", running.promptTokens_ }, { "completion_tokens", running.generatedTokens_ },
                  { "total_tokens", running.promptTokens_ + running.generatedTokens_ },
                  { "prompt_tokens_details", { { "cached_tokens", running.cachedTokens_ } } } };
        running.exchange_->write("data: " + event.dump() + "\n\ndata: [DONE]\n\n");
        running.exchange_->end();
    }

    // Reports lag on purpose: a sample is published one interval after it was taken, and is then served for a
    // whole interval.
    void updateLoadReport()
    {
        if (++steps_ % options_.stepsPerReport_ != 0)
            return;
        reportedLoad_ = currentLoad_;
        std::int64_t queued = 0;
        for (const RunningRequest& running : batch_)
            queued += running.remainingPrefillTokens_;
        currentLoad_ = { { "running", batch_.size() }, { "waiting", 0 }, { "queued_tokens", queued } };
    }

    // Runs one step of the batch: requests share the prefill budget, and each request whose prefill is
    // complete generates one token.
    void step()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        updateLoadReport();
        std::int64_t prefill = options_.prefillTokensPerStep_;
        for (auto running = batch_.begin(); running != batch_.end();) {
            std::int64_t share = std::min(prefill, running->remainingPrefillTokens_);
            prefill -= share;
            running->remainingPrefillTokens_ -= share;
            if (running->remainingPrefillTokens_ == 0)
                sendToken(*running);
            bool isTruncated = truncateAfterTokens_ > 0 && running->generatedTokens_ >= truncateAfterTokens_;
            bool isDone = running->generatedTokens_ >= running->answerTokens_;
            if (!isTruncated && !isDone) {
                ++running;
                continue;
            }
            if (isDone && !isTruncated) {
                cachePrompt(*running);
                sendEnd(*running);
            } else {
                running->exchange_->end();
            }
            running = batch_.erase(running);
        }
    }

    json describeCache() const
    {
        json entries = json::array();
        for (const auto& [key, entry] : cache_)
            entries.push_back({ { "key", key }, { "tokens", entry.tokens_ } });
        return { { "entries", std::move(entries) }, { "tokens", cacheSize() } };
    }

    void applyFaults(const std::string& body)
    {
        json faults = json::parse(body, nullptr, false);
        if (!faults.is_object())
            return;
        truncateAfterTokens_ = faults.value("cut_after", truncateAfterTokens_);
        rejectsRequests_ = faults.value("refuse", rejectsRequests_);
        releasesToDrop_ = faults.value("lose_releases", releasesToDrop_);
    }

    void releaseCacheEntry(const std::string& key, const HttpExchangePtr& exchange)
    {
        if (releasesToDrop_ > 0) {
            --releasesToDrop_;
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
            return exchange->answer({ 200, "application/json", describeCache().dump(), {} });
        if (request.path_.rfind(cachePath, 0) == 0 && request.method_ == "DELETE")
            return releaseCacheEntry(request.path_.substr(cachePath.size()), exchange);
        if (request.path_ == "/used")
            return exchange->answer({ 200, "application/json", json(usedTokens_).dump(), {} });
        if (request.path_ == "/v1/load")
            return exchange->answer({ 200, "application/json", reportedLoad_.dump(), {} });
        if (request.path_ == "/faults") {
            applyFaults(request.body_);
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
