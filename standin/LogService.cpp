#include "LogService.h"

#include "WorkQueue.h"

#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>

namespace fescue::standin {

using nlohmann::json;

namespace {

    constexpr std::string_view streamsPath = "/streams/";
    constexpr std::size_t longestPage = 500;
    constexpr Milliseconds tickInterval { 5 };

    struct Stream {
        std::uint64_t first_ = 1;
        std::deque<std::string> entries_;
        std::uint64_t next() const { return first_ + entries_.size(); }
    };

    // A read that waits for an entry to come.
    struct Reader {
        HttpExchangePtr exchange_;
        std::string stream_;
        std::uint64_t from_ = 0;
        MonotonicTime until_;
    };

    struct DelayedAnswer {
        MonotonicTime at_;
        HttpExchangePtr exchange_;
        HttpResponse response_;
    };

    std::int64_t numberOr(const std::string& text, std::int64_t fallback)
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
    std::vector<Reader> readers_;
    std::vector<DelayedAnswer> delayed_;
    LogFaults faults_;
    std::uint64_t appends_ = 0;
    std::uint64_t appendedBytes_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t readBytes_ = 0;
    std::vector<HttpExchangePtr> hung_;
    WorkQueue work_ { 1 };
    std::unique_ptr<HttpServer> http_;

    // Precondition for all below: the lock is held.
    void answer(const HttpExchangePtr& exchange, HttpResponse response)
    {
        if (faults_.delayMs_ <= 0)
            return exchange->answer(std::move(response));
        delayed_.push_back(
            { monotonicNow() + Milliseconds { faults_.delayMs_ }, exchange, std::move(response) });
    }

    void append(const std::string& name, const std::string& data, const HttpExchangePtr& exchange)
    {
        Stream& stream = streams_[name];
        std::uint64_t offset = stream.next();
        stream.entries_.push_back(data);
        ++appends_;
        appendedBytes_ += data.size();
        while (stream.entries_.size() > retention_) {
            stream.entries_.pop_front();
            ++stream.first_;
        }
        if (faults_.hangAnswers_ > 0) {
            --faults_.hangAnswers_;
            hung_.push_back(exchange);
        } else if (faults_.loseAnswers_ > 0) {
            --faults_.loseAnswers_;
            answer(exchange, jsonResponse(504, { { "error", "answer lost" } }));
        } else {
            answer(exchange, jsonResponse(200, { { "offset", offset } }));
        }
        wakeReaders();
    }

    HttpResponse page(const std::string& name, std::uint64_t from)
    {
        const Stream& stream = streams_[name];
        json entries = json::array();
        std::uint64_t begin = std::max(from, stream.first_);
        for (std::uint64_t offset = begin; offset < stream.next() && entries.size() < longestPage; ++offset)
            entries.push_back({ { "offset", offset }, { "data", stream.entries_[offset - stream.first_] } });
        HttpResponse response = jsonResponse(200,
            { { "first", stream.first_ }, { "next", stream.next() }, { "entries", std::move(entries) } });
        ++reads_;
        readBytes_ += response.body_.size();
        return response;
    }

    void read(const std::string& name, const HttpRequest& request, const HttpExchangePtr& exchange)
    {
        auto from
            = static_cast<std::uint64_t>(std::max<std::int64_t>(numberOr(queryOf(request, "from"), 1), 1));
        auto wait = numberOr(queryOf(request, "wait_ms"), 0);
        if (wait <= 0 || streams_[name].next() > from)
            return answer(exchange, page(name, from));
        readers_.push_back({ exchange, name, from, monotonicNow() + Milliseconds { wait } });
    }

    void wakeReaders()
    {
        std::vector<Reader> waiting;
        for (Reader& reader : readers_) {
            bool isDue = faults_.isDown_ || streams_[reader.stream_].next() > reader.from_
                || monotonicNow() >= reader.until_;
            if (!isDue)
                waiting.push_back(std::move(reader));
            else if (faults_.isDown_)
                answer(reader.exchange_, jsonResponse(503, { { "error", "down" } }));
            else
                answer(reader.exchange_, page(reader.stream_, reader.from_));
        }
        readers_ = std::move(waiting);
    }

    void tick()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        wakeReaders();
        std::vector<DelayedAnswer> later;
        for (DelayedAnswer& delayed : delayed_) {
            if (monotonicNow() >= delayed.at_)
                delayed.exchange_->answer(std::move(delayed.response_));
            else
                later.push_back(std::move(delayed));
        }
        delayed_ = std::move(later);
    }

    void takeFaults(const std::string& body)
    {
        json wanted = json::parse(body, nullptr, false);
        if (!wanted.is_object())
            return;
        faults_.isDown_ = wanted.value("down", faults_.isDown_);
        faults_.delayMs_ = wanted.value("delay_ms", faults_.delayMs_);
        faults_.loseAnswers_ = wanted.value("lose_answers", faults_.loseAnswers_);
        faults_.hangAnswers_ = wanted.value("hang_answers", faults_.hangAnswers_);
    }

    void handle(const HttpRequest& request, const HttpExchangePtr& exchange)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (request.path_ == "/faults") {
            takeFaults(request.body_);
            return exchange->answer(jsonResponse(200, json::object()));
        }
        if (request.path_ == "/stats")
            return exchange->answer(jsonResponse(200,
                { { "appends", appends_ }, { "appended_bytes", appendedBytes_ }, { "reads", reads_ },
                    { "read_bytes", readBytes_ } }));
        if (faults_.isDown_)
            return answer(exchange, jsonResponse(503, { { "error", "down" } }));
        if (request.path_.rfind(streamsPath, 0) != 0)
            return exchange->answer(jsonResponse(404, { { "error", "no such path" } }));
        std::string name = request.path_.substr(streamsPath.size());
        if (request.method_ == "POST")
            return append(name, request.body_, exchange);
        read(name, request, exchange);
    }
};

LogService::LogService(const HttpServerOptions& options, std::size_t retention)
    : impl_(std::make_unique<Impl>())
{
    impl_->retention_ = retention;
    impl_->work_.every(tickInterval, [impl = impl_.get()] { impl->tick(); });
    impl_->http_ = std::make_unique<HttpServer>(
        options, [impl = impl_.get()](const HttpRequest& request, const HttpExchangePtr& exchange) {
            impl->handle(request, exchange);
        });
}

LogService::~LogService()
{
    impl_->http_.reset();
    impl_->work_.stop();
}

std::uint16_t LogService::port() const { return impl_->http_->port(); }

void LogService::setFaults(const LogFaults& faults)
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    impl_->faults_ = faults;
}

} // namespace fescue::standin
