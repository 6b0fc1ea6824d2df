#include "Runner.h"

#include <asio/steady_timer.hpp>
#include <fmt/format.h>

namespace fescue::review {

using asio::ip::tcp;

Runner::Runner(asio::io_context& io, std::string instance, Handler handler)
    : io_(io)
    , acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , instance_(std::move(instance))
    , handler_(std::move(handler))
    , port_(acceptor_.local_endpoint().port())
{
    accept();
}

void Runner::after(std::chrono::milliseconds time, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(io_, time);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code& error) {
        if (!error)
            action();
    });
}

void Runner::crash()
{
    acceptor_.close();
    for (auto& [channel, isGone] : channels_) {
        *isGone = true;
        if (auto link = channel.lock())
            link->close(true);
    }
    channels_.clear();
}

void Runner::accept()
{
    acceptor_.async_accept([this](const asio::error_code& error, tcp::socket socket) {
        if (error)
            return;
        serve(TcpLink::accepted(std::move(socket)));
        accept();
    });
}

void Runner::serve(const std::shared_ptr<TcpLink>& link)
{
    auto reader = std::make_shared<HttpReader>(HttpReader::Side::Requests, HttpLimits {});
    auto isGone = std::make_shared<bool>(false);
    channels_.emplace_back(link, isGone);
    auto onData = [this, link, reader, isGone](std::string_view data) {
        while (!data.empty()) {
            data.remove_prefix(reader->feed(data));
            if (!reader->isComplete())
                return;
            HttpHead head = reader->head();
            std::string body = reader->takeBody();
            reader->next();
            handle(link, isGone, std::move(head), std::move(body));
        }
    };
    link->setCallbacks({ nullptr, onData, [isGone](CloseReason) { *isGone = true; } });
    link->start();
}

void Runner::handle(const std::shared_ptr<TcpLink>& link, const std::shared_ptr<bool>& isGone, HttpHead head,
    std::string body)
{
    RunnerRequest request { std::move(head), std::move(body), {}, link, isGone };
    request.id_ = headerOf(request, "Fescuewinch-Request-Id");
    std::string expected = headerOf(request, "Fescuewinch-Expect-Instance");
    if (!expected.empty() && expected != instance_)
        return link->send(fmt::format("HTTP/1.1 421 Misdirected Request\r\nFescuewinch-Request-Id: {}\r\n"
                                      "Fescuewinch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            request.id_));
    handler_(*this, request);
}

std::string headerOf(const RunnerRequest& request, const std::string& name)
{
    const std::string* value = findHeader(request.head_, name);
    return value ? *value : std::string();
}

std::string answerHead(const RunnerRequest& request, int status, const std::string& headers)
{
    return fmt::format(
        "HTTP/1.1 {} {}\r\nFescuewinch-Request-Id: {}\r\nFescuewinch-Response-Stamp: s.{}\r\n{}\r\n", status,
        reasonPhraseOf(status), request.id_, request.id_, headers);
}

std::string wholeAnswer(const RunnerRequest& request, const std::string& body, const std::string& headers)
{
    return answerHead(request, 200, headers + fmt::format("Content-Length: {}\r\n", body.size())) + body;
}

std::string refusal(const RunnerRequest& request, const std::string& headers)
{
    return fmt::format("HTTP/1.1 503 Service Unavailable\r\nFescuewinch-Request-Id: {}\r\n"
                       "Fescuewinch-Not-Executed: 1\r\n{}Content-Length: 0\r\n\r\n",
        request.id_, headers);
}

} // namespace fescue::review
