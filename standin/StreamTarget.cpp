#include "StreamTarget.h"

#include "HttpWire.h"
#include "TcpLink.h"

#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <iostream>
#include <list>
#include <optional>
#include <utility>
#include <vector>

namespace fescue::standin {

namespace {

    using asio::ip::tcp;

    enum class Framing { Chunks, Length, None };

    Framing framingOf(const std::string& path)
    {
        auto names = [&path](const char* segment) { return path.find(segment) != std::string::npos; };
        if (names("/none"))
            return Framing::None;
        return names("/length") ? Framing::Length : Framing::Chunks;
    }

    int numberIn(const std::string* value)
    {
        int number = 0;
        if (value)
            std::from_chars(value->data(), value->data() + value->size(), number);
        return number;
    }

    std::string textOf(const std::string* value) { return value ? *value : std::string("-"); }

    // One run of a request.
    struct Run {
        std::size_t number_ = 0;
        std::string path_;
        std::string attempt_;
        std::string resumes_;
        int first_ = 0;
        int last_ = 0;
        const char* outcome_ = "running";
    };

    // What a connection works on.
    struct Session : std::enable_shared_from_this<Session> {
        explicit Session(tcp::socket socket, asio::io_context& io)
            : link_(TcpLink::accepted(std::move(socket)))
            , timer_(io)
        {
        }

        std::shared_ptr<TcpLink> link_;
        HttpReader reader_ { HttpReader::Side::Requests, HttpLimits {} };
        asio::steady_timer timer_;
        Framing framing_ = Framing::Chunks;
        Run* run_ = nullptr;
        int nextEvent_ = 1;
        bool isAnswering_ = false;
        bool isSilent_ = false;
    };
    using SessionPtr = std::shared_ptr<Session>;

    template <typename Value, std::size_t count>
    std::optional<Value> findNamed(
        const std::array<std::pair<const char*, Value>, count>& names, const std::string& name)
    {
        for (const auto& [known, value] : names) {
            if (name == known)
                return value;
        }
        return std::nullopt;
    }

} // namespace

std::optional<EndPoint> parseEndPoint(const std::string& name)
{
    static constexpr std::array<std::pair<const char*, EndPoint>, 6> names { {
        { "never", EndPoint::Never },
        { "inside-head", EndPoint::InsideHead },
        { "inside-chunk-size", EndPoint::InsideChunkSize },
        { "inside-event", EndPoint::InsideEvent },
        { "between-events", EndPoint::BetweenEvents },
        { "after-last-event", EndPoint::AfterLastEvent },
    } };
    return findNamed(names, name);
}

std::optional<EndKind> parseEndKind(const std::string& name)
{
    static constexpr std::array<std::pair<const char*, EndKind>, 4> names { {
        { "kill", EndKind::Kill },
        { "exit", EndKind::Exit },
        { "break", EndKind::Break },
        { "pause", EndKind::Pause },
    } };
    return findNamed(names, name);
}

struct StreamTarget::Impl : std::enable_shared_from_this<StreamTarget::Impl> {
    asio::io_context& io_;
    StreamTargetOptions options_;
    tcp::acceptor acceptor_;
    std::list<Run> runs_;
    std::vector<std::weak_ptr<TcpLink>> links_;

    Impl(asio::io_context& io, StreamTargetOptions options)
        : io_(io)
        , options_(std::move(options))
        , acceptor_(io)
    {
    }

    void listen()
    {
        acceptor_.open(tcp::v4());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(tcp::endpoint(asio::ip::make_address_v4(options_.address_), options_.port_));
        acceptor_.listen();
        accept();
    }

    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](const asio::error_code& error, tcp::socket socket) {
                if (error)
                    return;
                self->serve(std::make_shared<Session>(std::move(socket), self->io_));
                self->accept();
            });
    }

    // Without those that either side has closed.
    int openConnections()
    {
        links_.erase(std::remove_if(links_.begin(), links_.end(),
                         [](const auto& entry) {
                             auto link = entry.lock();
                             return !link || !link->isOpen();
                         }),
            links_.end());
        return static_cast<int>(links_.size());
    }

    void serve(const SessionPtr& session)
    {
        if (options_.maxConnections_ > 0 && openConnections() >= options_.maxConnections_)
            return session->link_->close(true);
        links_.push_back(session->link_);
        auto self = shared_from_this();
        session->link_->setCallbacks(
            { nullptr, [self, session](std::string_view data) { self->handleData(session, data); },
                [self, session](CloseReason) {
                    if (session->run_ && session->isAnswering_)
                        self->setOutcome(*session->run_, "caller-gone");
                    session->isSilent_ = true;
                    session->timer_.cancel();
                } });
        session->link_->start();
    }

    void handleData(const SessionPtr& session, std::string_view data)
    {
        while (!data.empty()) {
            data.remove_prefix(session->reader_.feed(data));
            if (session->reader_.error())
                return session->link_->close(true);
            bool isDue = options_.readsBodies_ ? session->reader_.isComplete() : session->reader_.hasHead();
            if (!isDue)
                continue;
            if (!options_.readsBodies_)
                session->link_->pauseReading(true);
            HttpHead request = session->reader_.head();
            session->reader_.takeBody();
            session->reader_.next();
            answer(session, request);
            if (!options_.readsBodies_)
                return;
        }
    }

    void answer(const SessionPtr& session, const HttpHead& request)
    {
        const std::string* expected = findHeader(request, "Fescuewinch-Expect-Instance");
        std::string attempt = textOf(findHeader(request, "Fescuewinch-Request-Id"));
        if (request.target_ == "/runs")
            return session->link_->send(fmt::format(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", runsText().size(), runsText()));
        if (expected && !options_.id_.empty() && *expected != options_.id_)
            return session->link_->send(
                fmt::format("HTTP/1.1 421 Misdirected Request\r\n"
                            "Fescuewinch-Request-Id: {}\r\n"
                            "Fescuewinch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    attempt));
        session->framing_ = framingOf(request.target_);
        session->isAnswering_ = true;
        int from = numberIn(findHeader(request, "Last-Event-Id"));
        runs_.push_back({ runs_.size() + 1, request.target_, attempt, textOf(findHeader(request, "Resumes")),
            from + 1, from });
        Run& run = runs_.back();
        log(fmt::format(
            "run {} {} {} {} {}", run.number_, run.attempt_, run.resumes_, run.first_, run.path_));
        if (!options_.crashPath_.empty() && run.path_.find(options_.crashPath_) != std::string::npos)
            std::raise(SIGKILL);
        session->run_ = &run;
        session->nextEvent_ = from + 1;
        bool isStream = request.method_ == "POST" && request.target_.find("/call/") == std::string::npos;
        if (isStream)
            startStream(session, attempt);
        else
            sendPlain(session, attempt);
    }

    void log(const std::string& line) const
    {
        if (options_.logsRuns_)
            std::cout << line << std::endl;
    }

    void setOutcome(Run& run, const char* outcome) const
    {
        run.outcome_ = outcome;
        log(fmt::format("end {} {}", run.number_, outcome));
    }

    std::string runsText() const
    {
        std::string text;
        for (const Run& run : runs_)
            text += fmt::format(
                "{} {} {} {} {}\n", run.attempt_, run.resumes_, run.first_, run.last_, run.outcome_);
        return text;
    }

    static std::string headOf(
        const SessionPtr& session, const std::string& attempt, const char* type, std::size_t length)
    {
        std::string framing;
        if (session->framing_ == Framing::Chunks)
            framing = "Transfer-Encoding: chunked\r\n";
        if (session->framing_ == Framing::Length)
            framing = fmt::format("Content-Length: {}\r\n", length);
        return fmt::format("HTTP/1.1 200 OK\r\nFescuewinch-Request-Id: {}\r\n"
                           "Fescuewinch-Response-Stamp: s.{}\r\nContent-Type: {}\r\n{}\r\n",
            attempt, attempt, type, framing);
    }

    std::string eventText(const Run& run, int number) const
    {
        std::string data = fmt::format("{} of {}", number, options_.events_);
        if (!options_.label_.empty())
            data += " " + options_.label_;
        if (options_.namesPath_)
            data += " " + run.path_;
        return fmt::format("id: {}\ndata: {}\n\n", number, data);
    }

    bool endsAt(EndPoint point, int event) const
    {
        return options_.endPoint_ == point && event == options_.endAtEvent_;
    }

    // Ends as the options say, once the bytes have been sent.
    void end(const SessionPtr& session)
    {
        bool endsProcess = options_.endKind_ == EndKind::Kill || options_.endKind_ == EndKind::Exit;
        if (endsProcess)
            setOutcome(*session->run_, "itself");
        switch (options_.endKind_) {
        case EndKind::Kill:
            std::raise(SIGKILL);
            break;
        case EndKind::Exit:
            std::_Exit(0);
        case EndKind::Break:
            setOutcome(*session->run_, "broken-off");
            session->isSilent_ = true;
            session->isAnswering_ = false;
            session->link_->closeAfterFlush();
            break;
        case EndKind::Pause:
            session->isSilent_ = true;
            break;
        }
    }

    void startStream(const SessionPtr& session, const std::string& attempt)
    {
        std::size_t length = 0;
        for (int k = session->nextEvent_; k <= options_.events_; ++k)
            length += eventText(*session->run_, k).size();
        std::string head = headOf(session, attempt, "text/event-stream", length);
        if (options_.endPoint_ == EndPoint::InsideHead) {
            constexpr std::size_t secondLine = 40;
            session->link_->send(head.substr(0, secondLine));
            return end(session);
        }
        session->link_->send(head);
        sendEvents(session);
    }

    // Sends the next event, then waits for the gap.
    void sendEvents(const SessionPtr& session)
    {
        if (session->isSilent_)
            return;
        int event = session->nextEvent_;
        if (event > options_.events_)
            return finishStream(session);
        std::string text = eventText(*session->run_, event);
        if (endsAt(EndPoint::InsideChunkSize, event) || endsAt(EndPoint::InsideEvent, event)) {
            std::string wire = session->framing_ == Framing::Chunks ? toChunk(text) : text;
            std::size_t part = options_.endPoint_ == EndPoint::InsideEvent ? wire.size() / 2 : 1;
            session->link_->send(wire.substr(0, part));
            return end(session);
        }
        log(fmt::format("event {} {}", session->run_->number_, event));
        session->link_->send(session->framing_ == Framing::Chunks ? toChunk(text) : text);
        session->run_->last_ = event;
        ++session->nextEvent_;
        if (endsAt(EndPoint::BetweenEvents, event))
            return end(session);
        auto gap = event == options_.events_ ? Milliseconds { 0 } : options_.gap_;
        session->timer_.expires_after(gap);
        session->timer_.async_wait([self = shared_from_this(), session](const asio::error_code& error) {
            if (!error)
                self->sendEvents(session);
        });
    }

    void finishStream(const SessionPtr& session)
    {
        if (options_.endPoint_ == EndPoint::AfterLastEvent)
            return end(session);
        if (session->framing_ == Framing::Chunks)
            session->link_->send("0\r\n\r\n");
        finish(session);
    }

    void finish(const SessionPtr& session)
    {
        setOutcome(*session->run_, "complete");
        session->isAnswering_ = false;
        session->run_ = nullptr;
        if (session->framing_ == Framing::None)
            session->link_->closeAfterFlush();
    }

    void sendPlain(const SessionPtr& session, const std::string& attempt)
    {
        std::string body = options_.namesPath_ ? session->run_->path_ : std::string();
        body.resize(options_.answerBytes_, 'x');
        std::string half = body.substr(0, body.size() / 2);
        std::string head = headOf(session, attempt, "text/plain", body.size());
        if (options_.endPoint_ == EndPoint::InsideHead) {
            constexpr std::size_t secondLine = 40;
            session->link_->send(head.substr(0, secondLine));
            return end(session);
        }
        bool isChunked = session->framing_ == Framing::Chunks;
        session->link_->send(head + (isChunked ? toChunk(half) : half));
        if (options_.endPoint_ == EndPoint::BetweenEvents)
            return end(session);
        session->timer_.expires_after(options_.gap_);
        session->timer_.async_wait([self = shared_from_this(), session, isChunked,
                                       rest = body.substr(half.size())](const asio::error_code& error) {
            if (error || session->isSilent_)
                return;
            session->link_->send(isChunked ? toChunk(rest) + "0\r\n\r\n" : rest);
            self->finish(session);
        });
    }
};

StreamTarget::StreamTarget(asio::io_context& io, const StreamTargetOptions& options)
    : impl_(std::make_shared<Impl>(io, options))
{
    impl_->listen();
}

StreamTarget::~StreamTarget()
{
    asio::error_code ignored; // The process is about to end.
    impl_->acceptor_.close(ignored);
}

std::uint16_t StreamTarget::port() const { return impl_->acceptor_.local_endpoint().port(); }

} // namespace fescue::standin
