#include "HttpClient.h"

#include "LowerCase.h"

#include <atomic>
#include <condition_variable>
#include <curl/curl.h>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <unordered_map>

namespace fescue {

namespace {

    constexpr long maxIdleConnections = 256;
    constexpr int pollTimeoutMs = 1000;
    // Of a response with its interim responses and trailers.
    constexpr std::size_t maxHeadBytes = 256 * 1024;
    constexpr long firstFinalStatus = 200; ///< Statuses below it are those of interim responses.
    constexpr long maxStatus = 599; ///< Others are invalid (RFC 9110, section 15).

    struct Transfer {
        TransferId id_;
        HttpCall call_;
        HttpClient::OnDone onDone_;
        HttpClient::OnData onData_;
        HttpResult result_;
        CURL* easy_ = nullptr;
        curl_slist* headers_ = nullptr;
        bool mayHaveSent_ = false; ///< The connection was established and sending was allowed.
        bool hasWholeHead_ = false; ///< The empty line after the response's head was received.
        const char* failure_ = nullptr; ///< Why a callback has ended the transfer.
        std::size_t headBytes_ = 0; ///< Received so far.
        std::size_t bodyBytes_ = 0;

        Transfer() = default;
        Transfer(const Transfer&) = delete;
        Transfer& operator=(const Transfer&) = delete;
        ~Transfer()
        {
            curl_slist_free_all(headers_);
            if (easy_)
                curl_easy_cleanup(easy_);
        }
    };

    long statusOf(CURL* easy)
    {
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        return status;
    }

    // Ends a transfer from one of its callbacks. Returns what the callback has to return.
    std::size_t fail(Transfer& transfer, const char* reason)
    {
        transfer.failure_ = reason;
        return 0;
    }

    std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* user)
    {
        auto& transfer = *static_cast<Transfer*>(user);
        auto& headers = transfer.result_.headers_;
        transfer.headBytes_ += size * count;
        if (transfer.headBytes_ > maxHeadBytes)
            return fail(transfer, "the head of the response is too large");
        std::string line(data, size * count);
        if (transfer.hasWholeHead_) // The line belongs to a trailer.
            return size * count;
        if (line.rfind("HTTP/", 0) == 0) {
            headers.clear(); // Of an interim response.
            return size * count;
        }
        if (line == "\r\n" || line == "\n") {
            long status = statusOf(transfer.easy_);
            if (status > maxStatus)
                return fail(transfer, "the response has an invalid status");
            transfer.hasWholeHead_ = status >= firstFinalStatus;
            return size * count;
        }
        auto colon = line.find(':');
        if (colon == std::string::npos)
            return size * count;
        auto begin = line.find_first_not_of(' ', colon + 1);
        auto end = line.find_last_not_of("\r\n ");
        bool hasValue = begin != std::string::npos && end != std::string::npos && end >= begin;
        headers[toLowerCase(line.substr(0, colon))]
            = hasValue ? line.substr(begin, end - begin + 1) : std::string();
        return size * count;
    }

    std::size_t onBody(char* data, std::size_t size, std::size_t count, void* user)
    {
        auto& transfer = *static_cast<Transfer*>(user);
        std::string_view bytes(data, size * count);
        transfer.bodyBytes_ += bytes.size();
        if (transfer.bodyBytes_ > static_cast<std::size_t>(transfer.call_.maxBody_.value_))
            return fail(transfer, "the body of the response is too large");
        if (!transfer.onData_) {
            transfer.result_.body_.append(bytes);
            return bytes.size();
        }
        transfer.onData_(static_cast<int>(statusOf(transfer.easy_)), bytes);
        return bytes.size();
    }

    int checkSendDeadline(void* user, char*, char*, int, int)
    {
        auto& transfer = *static_cast<Transfer*>(user);
        if (transfer.call_.sendDeadline_ && monotonicNow() >= *transfer.call_.sendDeadline_)
            return CURL_PREREQFUNC_ABORT;
        transfer.mayHaveSent_ = true;
        return CURL_PREREQFUNC_OK;
    }

    void setMethodAndBody(CURL* easy, const HttpCall& call)
    {
        if (call.method_ != "GET")
            curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method_.c_str());
        if (call.body_.empty() && call.method_ != "POST")
            return;
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body_.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body_.size()));
    }

    void configureHandle(Transfer& transfer)
    {
        CURL* easy = transfer.easy_ = curl_easy_init();
        const HttpCall& call = transfer.call_;
        for (const std::string& line : call.headers_)
            transfer.headers_ = curl_slist_append(transfer.headers_, line.c_str());
        transfer.headers_ = curl_slist_append(transfer.headers_, "Expect:");
        curl_easy_setopt(easy, CURLOPT_URL, call.url_.c_str());
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers_);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(call.connectTimeout_.count()));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout_.count()));
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.isAtMostOnce_ ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, call.isAtMostOnce_ ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, checkSendDeadline);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
        setMethodAndBody(easy, call);
    }

    bool isFramed(const Transfer& transfer)
    {
        constexpr int noContent = 204;
        constexpr int notModified = 304;
        const HttpResult& result = transfer.result_;
        return result.headers_.count("content-length") || result.headers_.count("transfer-encoding")
            || result.status_ == noContent || result.status_ == notModified
            || transfer.call_.method_ == "HEAD";
    }

    // A number or a literal may be the beginning of a longer one.
    bool isWholeJson(const std::string& body)
    {
        return nlohmann::json::parse(body, nullptr, false).is_structured();
    }

    void setOutcome(Transfer& transfer, CURLcode code)
    {
        HttpResult& result = transfer.result_;
        result.status_ = static_cast<int>(statusOf(transfer.easy_));
        if (code == CURLE_OK && !transfer.hasWholeHead_) {
            // libcurl reports success for a head that ends with its connection.
            result.outcome_ = HttpResult::Outcome::Unknown;
            result.error_ = "the connection was closed inside the head of the response";
            return;
        }
        bool isComplete = transfer.onData_ || isFramed(transfer) || isWholeJson(result.body_);
        if (code == CURLE_OK && isComplete) {
            result.outcome_ = HttpResult::Outcome::Answered;
            return;
        }
        if (code == CURLE_OK) {
            result.outcome_ = HttpResult::Outcome::Unknown;
            result.error_
                = "the response has neither a length nor chunks, so it may have been cut off; let the "
                  "server send Content-Length or chunks";
            return;
        }
        result.error_ = transfer.failure_ ? transfer.failure_ : curl_easy_strerror(code);
        result.outcome_ = transfer.mayHaveSent_ ? HttpResult::Outcome::Unknown : HttpResult::Outcome::NotSent;
    }

} // namespace

struct HttpClient::Impl {
    CURLM* multi_ = nullptr;
    std::mutex mutex_;
    std::vector<std::unique_ptr<Transfer>> queued_;
    std::vector<TransferId> cancelled_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> running_;
    TransferId lastId_;
    std::atomic<bool> stopping_ { false };
    std::thread thread_;

    Impl()
    {
        curl_global_init(CURL_GLOBAL_ALL);
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, maxIdleConnections);
        thread_ = std::thread([this] { run(); });
    }

    ~Impl()
    {
        stopping_ = true;
        curl_multi_wakeup(multi_);
        thread_.join();
        curl_multi_cleanup(multi_);
    }

    void run()
    {
        while (!stopping_) {
            startQueued();
            int active = 0;
            curl_multi_perform(multi_, &active);
            finishCompleted();
            curl_multi_poll(multi_, nullptr, 0, pollTimeoutMs, nullptr);
        }
        startQueued();
        while (!running_.empty())
            finish(*running_.begin()->second, CURLE_ABORTED_BY_CALLBACK);
    }

    void startQueued()
    {
        std::vector<std::unique_ptr<Transfer>> queued;
        std::vector<TransferId> cancelled;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            queued.swap(queued_);
            cancelled.swap(cancelled_);
        }
        for (auto& transfer : queued) {
            configureHandle(*transfer);
            curl_easy_setopt(transfer->easy_, CURLOPT_PRIVATE, transfer.get());
            curl_multi_add_handle(multi_, transfer->easy_);
            running_[transfer->id_.value_] = std::move(transfer);
        }
        for (TransferId id : cancelled) {
            auto found = running_.find(id.value_);
            if (found != running_.end())
                finish(*found->second, CURLE_ABORTED_BY_CALLBACK);
        }
    }

    void finishCompleted()
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            Transfer* transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            finish(*transfer, message->data.result);
        }
    }

    void finish(Transfer& transfer, CURLcode code)
    {
        setOutcome(transfer, code);
        curl_multi_remove_handle(multi_, transfer.easy_);
        auto owned = std::move(running_[transfer.id_.value_]);
        running_.erase(owned->id_.value_);
        owned->onDone_(std::move(owned->result_));
    }
};

HttpClient::HttpClient()
    : impl_(std::make_unique<Impl>())
{
}

HttpClient::~HttpClient() = default;

TransferId HttpClient::start(HttpCall call, OnDone onDone, OnData onData)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->call_ = std::move(call);
    transfer->onDone_ = std::move(onDone);
    transfer->onData_ = std::move(onData);
    TransferId id;
    {
        std::lock_guard<std::mutex> lock(impl_->mutex_);
        impl_->lastId_ += TransferId { 1 };
        id = transfer->id_ = impl_->lastId_;
        impl_->queued_.push_back(std::move(transfer));
    }
    curl_multi_wakeup(impl_->multi_);
    return id;
}

void HttpClient::cancel(TransferId id)
{
    {
        std::lock_guard<std::mutex> lock(impl_->mutex_);
        impl_->cancelled_.push_back(id);
    }
    curl_multi_wakeup(impl_->multi_);
}

HttpResult HttpClient::perform(HttpCall call)
{
    std::promise<HttpResult> promise;
    auto future = promise.get_future();
    start(std::move(call), [&promise](HttpResult result) { promise.set_value(std::move(result)); });
    return future.get();
}

} // namespace fescue
