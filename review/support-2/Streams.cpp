#include "Streams.h"

#include <fmt/format.h>

namespace review {

namespace {

    // Sends the events of a stream after `Last-Event-Id`; each names the version that made it.
    struct Stream : std::enable_shared_from_this<Stream> {
        Stream(asio::io_context& io, std::shared_ptr<TcpLink> link, std::string version, int first)
            : link_(std::move(link))
            , timer_(io)
            , version_(std::move(version))
            , next_(first)
        {
        }

        void sendNext()
        {
            if (!link_->isOpen())
                return;
            if (next_ > eventCount)
                return link_->send("0\r\n\r\n");
            link_->send(fescue::toChunk(fmt::format("id: {0}\ndata: {0} {1}\n\n", next_++, version_)));
            timer_.expires_after(std::chrono::milliseconds(eventGapMs));
            timer_.async_wait([self = shared_from_this()](const asio::error_code&) { self->sendNext(); });
        }

        std::shared_ptr<TcpLink> link_;
        asio::steady_timer timer_;
        std::string version_;
        int next_;
    };

} // namespace

void runStream(Runner& runner, const std::shared_ptr<TcpLink>& link, const HttpHead& head, const std::string&)
{
    const std::string* id = findHeader(head, "Fescuewinch-Request-Id");
    const std::string* last = findHeader(head, "Last-Event-Id");
    record(fmt::format("{} ({}) runs {}{}", runner.entry().id_, runner.entry().version_, id ? *id : "",
        last ? " after event " + *last : ""));
    link->send(
        fmt::format("HTTP/1.1 200 OK\r\nFescuewinch-Request-Id: {}\r\nFescuewinch-Response-Stamp: s\r\n"
                    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            id ? *id : ""));
    std::make_shared<Stream>(
        runner.world().io(), link, runner.entry().version_, last ? std::stoi(*last) + 1 : 1)
        ->sendNext();
}

std::string wholeEvents(const std::string& body)
{
    constexpr std::string_view end = "\n\n";
    std::size_t last = body.rfind(end);
    return last == std::string::npos ? std::string() : body.substr(0, last + end.size());
}

std::string lastEventOf(const std::string& events)
{
    constexpr std::string_view prefix = "id: ";
    std::size_t last = events.rfind(prefix);
    if (last == std::string::npos)
        return {};
    last += prefix.size();
    return events.substr(last, events.find('\n', last) - last);
}

bool isWholeStream(const std::string& events) { return lastEventOf(events) == std::to_string(eventCount); }

std::set<std::string> versionsIn(const std::string& events)
{
    std::set<std::string> versions;
    for (const char* version : { "v1", "v2" }) {
        if (events.find(std::string(" ") + version) != std::string::npos)
            versions.insert(version);
    }
    return versions;
}

} // namespace review
