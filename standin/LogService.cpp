#include "LogService.h"

#include "WorkQueue.h"

#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>

namespace fescue::standin {

using nlohmann::json;

namespace {

    constexpr std::string_view streamsPath = "/streams/";
    constexpr std::size_t maxEntriesPerPage = 500;
    constexpr Milliseconds tickInterval { 5 };

    struct Stream {
        std::uint64_t firstOffset_ = 1;
        std::deque<std::string> entries_;
        std::uint64_t nextOffset() const { return firstOffset_ + entries_.size(); }
    };

    // A long-poll read that waits for the entry at `from_`.
    struct PendingRead {
        HttpExchangePtr exchange_;
        std::string stream_;
        std::uint64_t from_ = 0;
        MonotonicTime deadline_;
        std::size_t listener_ = 0;
    };

    struct DelayedAnswer {
        MonotonicTime dueAt_;
        HttpExchangePtr exchange_;
        HttpResponse response_;
    };

    std::int64_t parseNumberOr(const std::string& text, std::int64_t fallback)
    {
        try {
            return text.empty() ? fallback : std::stoll(text);
        } catch (const std::exception&) {
            return fallback;
        }
    }

    HttpResponse jsonResponse(int status, const json& document)
    {
        return { status, "application/json", document.dump(), {} };
    }

} // namespace

struct LogService::Impl {
    std::size_t retention_;
    std::mutex mutex_;
    std::map<std::string, Stream> streams_;
    std::vector<PendingRead> pendingReads_;
    std::vector<DelayedAnswer> delayedAnswers_;
    std::vector<LogFaults> faults_; ///< By listener.
    std::uint64_t appends_ = 0;
    std::uint64_t appendedBytes_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t readBytes_ = 0;
    std::vector<HttpExchangePtr> hungExchanges_;
    WorkQueue work_ { 1 };
    std::vector<std::unique_ptr<HttpServer>> http_;

    // Precondition of every function below except `tick` and `handle`: `mutex_` is locked.
    void answer(std::size_t listener, const HttpExchangePtr& exchange, HttpResponse response)
    {
        Milliseconds delay { faults_[listener].delayMs_ };
        if (delay.count() <= 0)
            return exchange->answer(std::move(response));
        delayedAnswers_.push_back({ monotonicNow() + delay, exchange, std::move(response) });
    }

    void append(std::size_t listener, const std::string& name, const std::string& data,
        const HttpExchangePtr& exchange)
    {
        LogFaults& faults = faults_[listener];
        Stream& stream = streams_[name];
        std::uint64_t offset = stream.nextOffset();
        stream.entries_.push_back(data);
        ++appends_;
        appendedBytes_ += data.size();
        while (stream.entries_.size() > retention_) {
            stream.entries_.pop_front();
            ++stream.firstOffset_;
        }
        if (faults.answersToHang_ > 0) {
            --faults.answersToHang_;
            hungExchanges_.push_back(exchange);
        } else if (faults.answersToDrop_ > 0) {
            --faults.answersToDrop_;
            answer(listener, exchange, jsonResponse(504, { { "error", "answer lost" } }));
        } else {
            answer(listener, exchange, jsonResponse(200, { { "offset", offset } }));
        }
        answerPendingReads();
    }

    HttpResponse readPage(const std::string& name, std::uint64_t from)
    {
        const Stream& stream = streams_[name];
        json entries = json::array();
        std::uint64_t begin = std::max(from, stream.firstOffset_);
        for (std::uint64_t offset = begin; offset < stream.nextOffset() && entries.size() < maxEntriesPerPage;
             ++offset)
            entries.push_back(
                { { "offset", offset }, { "data", stream.entries_[offset - stream.firstOffset_] } });
        HttpResponse response = jsonResponse(200,
            { { "first", stream.firstOffset_ }, { "next", stream.nextOffset() },
                { "entries", std::move(entries) } });
        ++reads_;
        readBytes_ += response.body_.size();
        return response;
    }

    void read(std::size_t listener, const std::string& name, const HttpRequest& request,
        const HttpExchangePtr& exchange)
    {
        auto from = static_cast<std::uint64_t>(
            std::max<std::int64_t>(parseNumberOr(queryOf(request, "from"), 1), 1));
        auto wait = parseNumberOr(queryOf(request, "wait_ms"), 0);
        if (wait <= 0 || streams_[name].nextOffset() > from)
            return answer(listener, exchange, readPage(name, from));
        pendingReads_.push_back({ exchange, name, from, monotonicNow() + Milliseconds { wait }, listener });
    }

    void answerPendingReads()
    {
        std::vector<PendingRead> waiting;
        for (PendingRead& read : pendingReads_) {
            bool isDown = faults_[read.listener_].isDown_;
            bool isReady = isDown || streams_[read.stream_].nextOffset() > read.from_
                || monotonicNow() >= read.deadline_;
            if (!isReady)
                waiting.push_back(std::move(read));
            else if (isDown)
                answer(read.listener_, read.exchange_, jsonResponse(503, { { "error", "down" } }));
            else
                answer(read.listener_, read.exchange_, readPage(read.stream_, read.from_));
        }
        pendingReads_ = std::move(waiting);
    }

    void tick()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        answerPendingReads();
        std::vector<DelayedAnswer> remaining;
        for (DelayedAnswer& delayed : delayedAnswers_) {
            if (monotonicNow() >= delayed.dueAt_)
                delayed.exchange_->answer(std::move(delayed.response_));
            else
                remaining.push_back(std::move(delayed));
        }
        delayedAnswers_ = std::move(remaining);
    }

    void applyFaults(LogFaults& faults, const std::string& body)
    {
        json requested = json::parse(body, nullptr, false);
        if (!requested.is_object())
            return;
        faults.isDown_ = requested.value("down", faults.isDown_);
        faults.delayMs_ = requested.value("delay_ms", faults.delayMs_);
        faults.answersToDrop_ = requested.value("lose_answers", faults.answersToDrop_);
        faults.answersToHang_ = requested.value("hang_answers", faults.answersToHang_);
    }

    void handle(std::size_t listener, const HttpRequest& request, const HttpExchangePtr& exchange)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (request.path_ == "/faults") {
            applyFaults(faults_[listener], request.body_);
            return exchange->answer(jsonResponse(200, json::object()));
        }
        if (request.path_ == "/stats")
            return exchange->answer(jsonResponse(200,
                { { "appends", appends_ }, { "appended_bytes", appendedBytes_ }, { "reads", reads_ },
                    { "read_bytes", readBytes_ } }));
        if (faults_[listener].isDown_)
            return answer(listener, exchange, jsonResponse(503, { { "error", "down" } }));
        if (request.path_.rfind(streamsPath, 0) != 0)
            return exchange->answer(jsonResponse(404, { { "error", "no such path" } }));
        std::string name = request.path_.substr(streamsPath.size());
        if (request.method_ == "POST")
            return append(listener, name, request.body_, exchange);
        read(listener, name, request, exchange);
    }
};

LogService::LogService(const HttpServerOptions& options, std::size_t retention, std::size_t ports)
    : impl_(std::make_unique<Impl>())
{
    impl_->retention_ = retention;
    impl_->faults_.resize(ports);
    impl_->work_.runEvery(tickInterval, [impl = impl_.get()] { impl->tick(); });
    for (std::size_t listener = 0; listener < ports; ++listener) {
        HttpServerOptions listenerOptions = options;
        listenerOptions.port_ = listener == 0 ? options.port_ : 0;
        impl_->http_.push_back(std::make_unique<HttpServer>(listenerOptions,
            [impl = impl_.get(), listener](const HttpRequest& request, const HttpExchangePtr& exchange) {
                impl->handle(listener, request, exchange);
            }));
    }
}

LogService::~LogService()
{
    impl_->http_.clear();
    impl_->work_.stop();
}

std::uint16_t LogService::port(std::size_t listener) const { return impl_->http_.at(listener)->port(); }

void LogService::setFaults(const LogFaults& faults, std::size_t listener)
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    impl_->faults_.at(listener) = faults;
}

} // namespace fescue::standin
