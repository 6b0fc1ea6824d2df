#include "PlainService.h"

#include "WorkQueue.h"

#include <mutex>
#include <nlohmann/json.hpp>

namespace fescue::standin {

using nlohmann::json;

namespace {

    constexpr Milliseconds tickInterval { 5 };

    struct DelayedAnswer {
        MonotonicTime at_;
        HttpExchangePtr exchange_;
        HttpResponse response_;
    };

} // namespace

struct PlainService::Impl {
    std::mutex mutex_;
    std::map<std::string, int> executions_;
    json journal_ = json::array(); ///< Every execution, in order.
    std::map<std::string, std::uint64_t> newestToken_;
    std::vector<DelayedAnswer> delayed_;
    std::vector<HttpExchangePtr> unanswered_;
    Milliseconds delay_ { 0 };
    std::int64_t loseAnswers_ = 0;
    bool refuses_ = false;
    bool checksFencing_ = false;
    WorkQueue work_ { 1 };
    std::unique_ptr<HttpServer> http_;

    void takeFaults(const std::string& body)
    {
        json wanted = json::parse(body, nullptr, false);
        if (!wanted.is_object())
            return;
        delay_ = Milliseconds { wanted.value("delay_ms", delay_.count()) };
        loseAnswers_ = wanted.value("lose_answers", loseAnswers_);
        refuses_ = wanted.value("refuse", refuses_);
        checksFencing_ = wanted.value("checks_fencing", checksFencing_);
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
        if (refuses_)
            return exchange->answer({ 503, "application/json", "{\"error\": \"full\"}", {} });
        if (isFenced(request))
            return exchange->answer({ 412, "application/json", "{\"error\": \"old fencing token\"}", {} });
        std::string key = headerOf(request, "idempotency-key");
        int times = ++executions_[key];
        journal_.push_back({ { "key", key }, { "body", request.body_ },
            { "at_ms", monotonicNow().time_since_epoch().count() } });
        if (loseAnswers_ > 0) {
            --loseAnswers_;
            unanswered_.push_back(exchange);
            return;
        }
        json answer { { "executed", times }, { "path", request.path_ }, { "body", request.body_ } };
        delayed_.push_back(
            { monotonicNow() + delay_, exchange, { 200, "application/json", answer.dump(), {} } });
        if (delay_.count() == 0)
            sendDue();
    }

    void handle(const HttpRequest& request, const HttpExchangePtr& exchange)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (request.path_ == "/faults") {
            takeFaults(request.body_);
            return exchange->answer({ 200, "application/json", "{}", {} });
        }
        if (request.path_ == "/executions")
            return exchange->answer({ 200, "application/json", json(executions_).dump(), {} });
        if (request.path_ == "/journal")
            return exchange->answer({ 200, "application/json", journal_.dump(), {} });
        execute(request, exchange);
    }

    // Precondition: the lock is held.
    void sendDue()
    {
        std::vector<DelayedAnswer> later;
        for (DelayedAnswer& delayed : delayed_) {
            if (monotonicNow() >= delayed.at_)
                delayed.exchange_->answer(std::move(delayed.response_));
            else
                later.push_back(std::move(delayed));
        }
        delayed_ = std::move(later);
    }

    void tick()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        sendDue();
    }
};

PlainService::PlainService(const HttpServerOptions& options)
    : impl_(std::make_unique<Impl>())
{
    impl_->work_.runEvery(tickInterval, [impl = impl_.get()] { impl->tick(); });
    impl_->http_ = std::make_unique<HttpServer>(
        options, [impl = impl_.get()](const HttpRequest& request, const HttpExchangePtr& exchange) {
            impl->handle(request, exchange);
        });
}

PlainService::~PlainService()
{
    impl_->http_.reset();
    impl_->work_.stop();
}

std::uint16_t PlainService::port() const { return impl_->http_->port(); }

} // namespace fescue::standin
