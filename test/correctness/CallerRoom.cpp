// FrontBuffersImpl and FrontRoomImpl: guards against a sum of what callers hold that drifts, a caller that is
// never read again, a request that runs after its refusal, and answers out of order, with callers of many
// kinds on little memory.

#include "BootClock.h"
#include "EventLoop.h"
#include "FrontCaller.h"
#include "FrontServer.h"
#include "Suite.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <list>
#include <random>
#include <set>
#include <thread>

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t maxBodyBytes = 512 * kilobyte;

// One caller, who sends requests one after another or ahead of their answers.
struct Caller {
    std::shared_ptr<TcpLink> link_;
    std::string input_; ///< To be sent, a piece at a time.
    std::size_t sent_ = 0;
    std::size_t sendsUpTo_ = 0; ///< Less than all for a caller that stops short.
    std::deque<int> awaited_; ///< Requests without an answer.
    std::string received_;
    bool isClosed_ = false;
    bool reads_ = true;

    bool isDone() const { return isClosed_ || awaited_.empty(); }
    bool isOrdinary() const { return reads_ && sendsUpTo_ == input_.size(); }
};

class Crowd {
public:
    explicit Crowd(unsigned seed)
        : random_(seed)
        , server_(
              io_, "127.0.0.1:0",
              [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
                  handle(request, reply);
              },
              [](int, const char*, const HttpHead*) {})
    {
        FrontLimits limits;
        limits.message_.maxBodyBytes_ = maxBodyBytes;
        limits.memory_ = { 3 * kilobyte * kilobyte, 768 * kilobyte, 768 * kilobyte, 512 * kilobyte };
        limits.maxConnections_ = 60;
        limits.idleTimeout_ = Milliseconds { 1500 };
        limits.headTimeout_ = Milliseconds { 1000 };
        server_.setLimits(limits);
    }

    void run()
    {
        constexpr int rounds = 1500;
        for (int round = 0; round < rounds; ++round) {
            if (pick(3) == 0)
                addCaller();
            step();
        }
        MonotonicTime end = bootNow() + Milliseconds { 8000 };
        auto isWaiting = [](const Caller& caller) { return caller.isOrdinary() && !caller.isDone(); };
        while (bootNow() < end && std::any_of(callers_.begin(), callers_.end(), isWaiting))
            step();
        for (const Caller& caller : callers_)
            CHECK(!isWaiting(caller));
        for (Caller& caller : callers_)
            caller.link_->close();
        replies_.clear();
        runLoopUntil(
            io_, [this] { server_.tick(bootNow()); },
            [this] { return server_.connections() == 0 && server_.heldMemory().total_ == 0; });
        CHECK_EQUAL(std::size_t { 0 }, server_.heldMemory().large_);
        CHECK_EQUAL(std::size_t { 0 }, server_.heldMemory().answers_);
        std::printf("%d requests, %zu handled, %d answered, %d refused\n", lastId_, handled_.size(),
            answered_, refused_);
        CHECK(answered_ > 0);
        CHECK(refused_ > 0);
    }

private:
    struct Pending {
        std::shared_ptr<FrontReply> reply_;
        int id_ = 0;
        MonotonicTime at_;
        int parts_ = 0; ///< Of an answer in parts, still to be written.
        std::shared_ptr<const bool> isGone_;
    };

    int pick(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }

    void step()
    {
        io_.run_for(std::chrono::milliseconds(1));
        io_.restart();
        for (Caller& caller : callers_)
            sendSome(caller);
        answerSome();
        server_.tick(bootNow());
    }

    std::string request(int id)
    {
        std::size_t bytes = 0;
        if (pick(3) == 0)
            bytes = static_cast<std::size_t>(pick(pick(4) == 0 ? 400 * 1024 : 8 * 1024));
        std::string close = pick(12) == 0 ? "Connection: close\r\n" : "";
        std::string head = fmt::format("POST /{} HTTP/1.1\r\nHost: h\r\n{}", id, close);
        if (pick(4) != 0)
            return head + fmt::format("Content-Length: {}\r\n\r\n", bytes) + std::string(bytes, 'b');
        return head + "Transfer-Encoding: chunked\r\n\r\n" + toChunk(std::string(bytes, 'b')) + "0\r\n\r\n";
    }

    void addCaller()
    {
        callers_.emplace_back();
        Caller& caller = callers_.back();
        int requests = 1 + pick(6);
        for (int i = 0; i < requests; ++i) {
            caller.awaited_.push_back(++lastId_);
            caller.input_ += request(lastId_);
        }
        caller.sendsUpTo_ = caller.input_.size();
        if (pick(4) == 0)
            caller.sendsUpTo_ = random_() % caller.input_.size();
        caller.reads_ = pick(5) != 0;
        caller.link_ = TcpLink::create(io_);
        caller.link_->setCallbacks({ [&caller] {
                                        if (!caller.reads_)
                                            caller.link_->pauseReading(true);
                                    },
            [this, &caller](std::string_view data) { receive(caller, data); },
            [&caller](CloseReason) { caller.isClosed_ = true; } });
        caller.link_->connect({ asio::ip::address_v4::loopback(), server_.port() });
    }

    void sendSome(Caller& caller)
    {
        if (caller.isClosed_ || caller.sent_ >= caller.sendsUpTo_ || caller.link_->queuedBytes() > 0
            || pick(3) == 0)
            return;
        std::size_t size = std::min(caller.sendsUpTo_ - caller.sent_,
            static_cast<std::size_t>(pick(2) == 0 ? 1 + pick(300) : 64 * 1024));
        caller.link_->send(std::string_view(caller.input_).substr(caller.sent_, size));
        caller.sent_ += size;
    }

    // Each answer has its request's id as its last line.
    void receive(Caller& caller, std::string_view data)
    {
        caller.received_ += data;
        for (;;) {
            std::size_t head = caller.received_.find("\r\n\r\n");
            if (head == std::string::npos)
                return;
            bool isChunked = caller.received_.substr(0, head).find("chunked") != std::string::npos;
            std::size_t end = 0;
            if (isChunked) {
                end = caller.received_.find("0\r\n\r\n", head + 4);
                if (end == std::string::npos)
                    return;
                end += 5;
            } else {
                std::size_t field = caller.received_.find("Content-Length: ");
                end = head + 4 + std::stoul(caller.received_.substr(field + 16));
                if (caller.received_.size() < end)
                    return;
            }
            take(caller, caller.received_.substr(0, end));
            caller.received_.erase(0, end);
        }
    }

    void take(Caller& caller, const std::string& answer)
    {
        CHECK(!caller.awaited_.empty());
        int id = caller.awaited_.front();
        caller.awaited_.pop_front();
        if (answer.compare(9, 3, "200") != 0) {
            refused_ += handled_.count(id) == 0 ? 1 : 0;
            CHECK(handled_.count(id) == 0);
            rejected_.insert(id);
            return;
        }
        ++answered_;
        CHECK(answer.find(fmt::format("#{}#", id)) != std::string::npos);
    }

    void handle(const FrontRequest& request, const std::shared_ptr<FrontReply>& reply)
    {
        int id = std::stoi(request.head_.target_.substr(1));
        CHECK(handled_.insert(id).second);
        CHECK(rejected_.count(id) == 0);
        Pending pending { reply, id, bootNow() + Milliseconds { pick(3) == 0 ? pick(300) : 0 }, pick(6), {} };
        pending.isGone_ = watchDisconnect(*reply);
        if (pick(3) == 0)
            reply->reserve(static_cast<std::size_t>(pick(200 * 1024)));
        auto answerBytes = static_cast<std::size_t>(pick(100 * 1024));
        if (pick(3) == 0 && reply->reserveForAnswer(answerBytes) && pick(2) == 0)
            reply->releaseAnswer(answerBytes);
        if (pick(2) == 0)
            return finish(pending);
        replies_.push_back(std::move(pending));
    }

    void finish(Pending& pending)
    {
        HttpHead head;
        head.status_ = 200;
        std::string body(static_cast<std::size_t>(pick(5) == 0 ? pick(100 * 1024) : 10), 'a');
        if (pick(40) == 0)
            return pending.reply_->abort();
        if (pending.parts_ < 4)
            return pending.reply_->answer(head, body + fmt::format("#{}#", pending.id_));
        pending.reply_->begin(head);
        for (; pending.parts_ > 0; --pending.parts_)
            pending.reply_->write(body);
        pending.reply_->write(fmt::format("#{}#", pending.id_));
        pending.reply_->end();
    }

    void answerSome()
    {
        auto due = std::move(replies_);
        replies_.clear();
        for (Pending& pending : due) {
            if (*pending.isGone_)
                continue;
            if (bootNow() < pending.at_)
                replies_.push_back(std::move(pending));
            else
                finish(pending);
        }
    }

    std::mt19937 random_;
    asio::io_context io_ { 1 };
    std::list<Caller> callers_;
    std::vector<Pending> replies_;
    std::set<int> handled_;
    std::set<int> rejected_;
    FrontServer server_;
    int lastId_ = 0;
    int answered_ = 0;
    int refused_ = 0;
};

} // namespace

class CallerRoom : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallerRoom);
    CPPUNIT_TEST(refusedCallersCountWhileTheyMaySendOn);
    CPPUNIT_TEST(requestThatCameDuringAPauseIsAnswered);
    CPPUNIT_TEST(sumOfWhatCallersHoldReturnsToZero);
    CPPUNIT_TEST(unreadAnswersGiveWayBeforeBodiesThatHaveRoom);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against answers that push out what others send once they are complete.
    void unreadAnswersGiveWayBeforeBodiesThatHaveRoom()
    {
        constexpr std::size_t megabyte = 1024 * 1024;
        constexpr std::size_t answerBytes = 200 * 1024;
        constexpr int receiveBuffer = 4096;
        HoldingServer server;
        FrontLimits limits;
        limits.memory_ = { 4 * megabyte, megabyte, megabyte, megabyte };
        server.server_.setLimits(limits);
        std::vector<std::unique_ptr<FrontCaller>> senders;
        for (int i = 0; i < 12; ++i) {
            senders.push_back(std::make_unique<FrontCaller>(server.io_, server.server_.port()));
            senders.back()->send("POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 60000\r\n\r\nb");
        }
        std::vector<std::unique_ptr<FrontCaller>> unread;
        for (int i = 0; i < 15; ++i) {
            unread.push_back(std::make_unique<FrontCaller>(server.io_, server.server_.port(), receiveBuffer));
            unread.back()->send(requestFor("/b"));
            auto reply = server.next();
            CHECK(reply->reserveForAnswer(answerBytes));
            reply->answer(headOf(200), std::string(answerBytes, 'b'));
            server.server_.tick(bootNow());
            CHECK(server.server_.heldMemory().total_ <= limits.memory_.total_);
        }
        for (const auto& sender : senders)
            CHECK(!sender->readToEnd() && sender->received().empty());
    }

    void refusedCallersCountWhileTheyMaySendOn()
    {
        constexpr std::size_t callers = 40;
        asio::io_context io { 1 };
        FrontServer server(
            io, "127.0.0.1:0", [](const FrontRequest&, const std::shared_ptr<FrontReply>&) {},
            [](int, const char*, const HttpHead*) {});
        FrontLimits limits;
        limits.memory_ = callerBudget(100);
        server.setLimits(limits);
        std::vector<std::shared_ptr<TcpLink>> links;
        std::size_t refused = 0;
        for (std::size_t i = 0; i < callers; ++i) {
            auto link = TcpLink::create(io);
            link->setCallbacks({ [link] { link->send("no request\r\n\r\n"); },
                [&refused, link](std::string_view) {
                    ++refused;
                    link->pauseReading(true); // It does not see the end of the connection.
                },
                [](CloseReason) {} });
            link->connect({ asio::ip::address_v4::loopback(), server.port() });
            links.push_back(std::move(link));
        }
        runLoopUntil(
            io, [&] { server.tick(bootNow()); }, [&] { return refused == callers; });
        CHECK(server.heldMemory().total_ >= callers * costOf({ wideBuffers.receive_, narrowBuffers.send_ }));
        runLoopUntil(
            io, [&] { server.tick(bootNow()); }, [&] { return server.heldMemory().total_ == 0; });
        for (const auto& link : links)
            link->close();
    }

    // The pause is longer than a connection may be idle.
    void requestThatCameDuringAPauseIsAnswered()
    {
        constexpr std::chrono::milliseconds pause { 900 };
        asio::io_context io { 1 };
        FrontServer server(
            io, "127.0.0.1:0",
            [](const FrontRequest&, const std::shared_ptr<FrontReply>& reply) {
                HttpHead head;
                head.status_ = 200;
                reply->answer(std::move(head), "ok");
            },
            [](int, const char*, const HttpHead*) {});
        FrontLimits limits;
        limits.idleTimeout_ = Milliseconds { 100 };
        server.setLimits(limits);
        const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        int answers = 0;
        bool isClosed = false;
        auto link = TcpLink::create(io);
        link->setCallbacks({ [&] { link->send(request); }, [&](std::string_view) { ++answers; },
            [&](CloseReason) { isClosed = true; } });
        link->connect({ asio::ip::address_v4::loopback(), server.port() });
        auto tick = [&] { server.tick(bootNow()); };
        runLoopUntil(io, tick, [&] { return answers == 1; });
        link->send(request);
        std::this_thread::sleep_for(pause);
        tick();
        runLoopUntil(io, tick, [&] { return answers == 2 || isClosed; });
        CHECK_EQUAL(2, answers);
        link->close();
    }

    void sumOfWhatCallersHoldReturnsToZero()
    {
        constexpr unsigned seeds = 3;
        for (unsigned seed = 1; seed <= seeds; ++seed)
            Crowd(seed).run();
    }
};

REGISTER_SUITE(CallerRoom);
