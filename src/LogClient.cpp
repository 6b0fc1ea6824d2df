#include "LogClient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescue {

using nlohmann::json;

namespace {

    constexpr ByteCount maxPage { 64 * 1024 * 1024 };

    std::string describeFailure(const LogAddress& log, const HttpResult& result)
    {
        std::string cause = result.outcome_ == HttpResult::Outcome::Answered
            ? fmt::format("status {}", result.status_)
            : result.error_;
        return fmt::format(
            "the log service at {} gave no answer ({}); check --log_url and the service", log.url_, cause);
    }

    bool isSuccess(const HttpResult& result)
    {
        return result.outcome_ == HttpResult::Outcome::Answered && result.status_ >= 200
            && result.status_ < 300;
    }

    LogError errorOf(const LogAddress& log, const HttpResult& result)
    {
        return { result.outcome_ != HttpResult::Outcome::NotSent, describeFailure(log, result) };
    }

    tl::expected<LogPage, LogError> parsePage(const std::string& text)
    {
        try {
            json document = json::parse(text);
            LogPage page { { document.at("first").get<std::uint64_t>() },
                { document.at("next").get<std::uint64_t>() }, {} };
            for (const json& entry : document.at("entries"))
                page.entries_.push_back(
                    { { entry.at("offset").get<std::uint64_t>() }, entry.at("data").get<std::string>() });
            return page;
        } catch (const json::exception& error) {
            return tl::make_unexpected(
                LogError { false, std::string("unreadable answer from the log: ") + error.what() });
        }
    }

} // namespace

void appendToLog(
    HttpClient& client, const LogAddress& log, const std::string& stream, std::string data, OnAppended done)
{
    HttpCall call { "POST", log.url_ + "/streams/" + stream, { "Content-Type: application/json" },
        std::move(data) };
    call.timeout_ = log.timeout_;
    client.start(std::move(call), [log, done = std::move(done)](HttpResult result) {
        json answer = isSuccess(result) ? json::parse(result.body_, nullptr, false) : json();
        if (!answer.is_object() || !answer.contains("offset"))
            return done(tl::make_unexpected(errorOf(log, result)));
        done(LogOffset { answer["offset"].get<std::uint64_t>() });
    });
}

void readLog(HttpClient& client, const LogAddress& log, const std::string& stream, LogOffset from,
    Milliseconds wait, OnRead done)
{
    HttpCall call { "GET",
        fmt::format("{}/streams/{}?from={}&wait_ms={}", log.url_, stream, from.value_, wait.count()) };
    call.timeout_ = log.timeout_ + wait;
    call.maxBody_ = maxPage;
    client.start(std::move(call), [log, done = std::move(done)](HttpResult result) {
        if (!isSuccess(result))
            return done(tl::make_unexpected(errorOf(log, result)));
        done(parsePage(result.body_));
    });
}

} // namespace fescue
