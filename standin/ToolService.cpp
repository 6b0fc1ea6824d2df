#include "ToolService.h"

#include "WorkQueue.h"

#include <mutex>
#include <nlohmann/json.hpp>

namespace fescue::standin {

using nlohmann::json;

namespace {

    constexpr Milliseconds tickInterval { 5 };

    struct DelayedAnswer {
        MonotonicTime dueAt_;
        HttpExchangePtr exchange_;
        HttpResponse response_;
    };

} // namespace

struct ToolService::Impl {
    std::mutex mutex_;
    std::map<std::string, int> executions_;
    json journal_ = json::array(); ///< All executions in order.
    std::map<std::string, std::uint64_t> newestToken_;
    std::vector<DelayedAnswer> delayedAnswers_;
    std::vector<HttpExchangePtr> unansweredExchanges_;
    Milliseconds delay_ { 0 };
    std::int64_t answersToDrop_ = 0;
    bool rejectsRequests_ = false;
    bool checksFencing_ = false;
    WorkQueue work_ { 1 };
    std::unique_ptr<HttpServer> http_;

    void applyFaults(const std::string& body)
    {
        json requested = json::parse(body, nullptr, false);
        if (!requested.is_object())
            return;
        delay_ = Milliseconds { requested.value("delay_ms", delay_.count()) };
        answersToDrop_ = requested.value("lose_answers", answersToDrop_);
        rejectsRequests_ = requested.value("refuse", rejectsRequests_);
        checksFencing_ = requested.value("checks_fencing", checksFencing_);
    }

    bool isFenced(const HttpRequest& request)
    {
        std::string token = headerOf(request, "fencing-token");
        if (!checksFencing_ || token.empty())
            return false;
        std::uint64_t number = std::stoull(token);
        std::uint64_t& newest = newestToken_[headerOf(request, "fencing-scope")];
        if (number < newest)
            return true;
        newest = number;
        return false;
    }

    void execute(const HttpRequest& request, const HttpExchangePtr& exchange)
    {
        if (rejectsRequests_)
            return exchange->answer({ 503, "application/json", "{\"error\": \"full\"}", {} });
        if (isFenced(request))
            return exchange->answer({ 412, "application/json", "{\"error\": \"old fencing token\"}", {} });
        std::string key = headerOf(request, "idempotency-key");
        int executionCount = ++executions_[key];
        journal_.push_back({ { "key", key }, { "body", request.body_ },
            { "at_ms", monotonicNow().time_since_epoch().count() } });
        if (answersToDrop_ > 0) {
            --answersToDrop_;
            unansweredExchanges_.push_back(exchange);
            return;
        }
        json answer { { "executed", executionCount }, { "path", request.path_ }, { "body", request.body_ } };
        delayedAnswers_.push_back(
            { monotonicNow() + delay_, exchange, { 200, "application/json", answer.dump(), {} } });
        if (delay_.count() == 0)
            sendDueAnswers();
    }

    void handle(const HttpRequest& request, const HttpExchangePtr& exchange)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (request.path_ == "/faults") {
            applyFaults(request.body_);
            return exchange->answer({ 200, "application/json", "{}", {} });
        }
        if (request.path_ == "/executions")
            return exchange->answer({ 200, "application/json", json(executions_).dump(), {} });
        if (request.path_ == "/journal")
            return exchange->answer({ 200, "application/json", journal_.dump(), {} });
        execute(request, exchange);
    }

    // Precondition: `mutex_` is locked.
    void sendDueAnswers()
    {
        std::vector<DelayedAnswer> remaining;
        for (DelayedAnswer& delayed : delayedAnswers_) {
            if (monotonicNow() >= delayed.dueAt_)
                delayed.exchange_->answer(std::move(delayed.response_));
            else
                remaining.push_back(std::move(delayed));
        }
        delayedAnswers_ = std::move(remaining);
    }

    void tick()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        sendDueAnswers();
    }
};

ToolService::ToolService(const HttpServerOptions& options)
    : impl_(std::make_unique<Impl>())
{
    impl_->work_.runEvery(tickInterval, [impl = impl_.get()] { impl->tick(); });
    impl_->http_ = std::make_unique<HttpServer>(
        options, [impl = impl_.get()](const HttpRequest& request, const HttpExchangePtr& exchange) {
            impl->handle(request, exchange);
        });
}

ToolService::~ToolService()
{
    impl_->http_.reset();
    impl_->work_.stop();
}

std::uint16_t ToolService::port() const { return impl_->http_->port(); }

} // namespace fescue::standin
