// Turns of other VMs that end, or are answered, while a VM goes through what is due. Another VM may send its
// next message ahead of an answer; the server lets it in only once the VM has gone through all of them.

#include "BootClock.h"
#include "EventLoop.h"
#include "FreePort.h"
#include "PlatformStore.h"
#include "RawConnection.h"
#include "StoreClient.h"
#include "Suite.h"
#include "TurnBroker.h"

#include <fmt/format.h>

using namespace fescue;
using namespace fescue::standin;

namespace {

std::string message(const char* path, const std::string& body, bool isLast = true)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: vm\r\nContent-Length: {}\r\n{}\r\n{}", path, body.size(),
        isLast ? "Connection: close\r\n" : "", body);
}

std::string turn(const std::string& program, int maxTokens, bool isLast = true)
{
    TurnRequest request { { program }, { 1000 }, { maxTokens }, Milliseconds { 60000 } };
    return message("/turns", encode(request), isLast);
}

std::string endOf(std::uint64_t grant) { return message("/turns/ended", encode(TurnEnd { grant, {}, {} })); }

// The first of the answers that a connection has received.
TurnReply readReply(fescue::test::RawConnection& connection)
{
    std::string answers = connection.readAll();
    const std::string headEnd = "\r\n\r\n";
    std::size_t body = answers.find(headEnd);
    CHECK(body != std::string::npos);
    body += headEnd.size();
    auto reply = parseTurnReply(answers.substr(body, answers.find("HTTP/1.1 ", body) - body));
    CHECK(reply.has_value());
    return *reply;
}

} // namespace

class PeerTurnsAhead : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerTurnsAhead);
    CPPUNIT_TEST(repliesThatAreDueTogetherLetNoEndInBetween);
    CPPUNIT_TEST(grantsThatExpireTogetherLetNoEndInBetween);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<asio::io_context> io_;
    std::unique_ptr<PlatformStore> store_;
    std::unique_ptr<platform::StoreClient> client_;
    std::unique_ptr<PacedStore> paced_;
    std::unique_ptr<PeerExchange> exchange_;
    std::unique_ptr<TurnBroker> broker_;
    StoreHealth health_;
    int port_ = 0;

    // Serves what comes, without the broker's periodic work.
    void serve(Milliseconds time)
    {
        MonotonicTime end = bootNow() + time;
        auto tick = [this] { store_->tick(bootNow()); };
        fescue::test::runLoopUntil(*io_, tick, [end] { return bootNow() >= end; });
    }

    TurnReply grant(const std::string& program)
    {
        fescue::test::RawConnection connection(port_);
        CHECK(connection.send(turn(program, 300)));
        serve(Milliseconds { 100 });
        TurnReply reply = readReply(connection);
        CHECK(reply.decision_ == TurnDecision::Granted);
        return reply;
    }

public:
    void setUp() override
    {
        io_ = std::make_unique<asio::io_context>(1);
        store_ = std::make_unique<PlatformStore>(*io_);
        health_ = {};
        asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(), store_->port());
        client_ = std::make_unique<platform::StoreClient>(*io_, address);
        paced_ = std::make_unique<PacedStore>(*client_, health_, 1);
        port_ = fescue::test::findFreePort(*io_);
        exchange_ = std::make_unique<PeerExchange>(*io_, VmId { "vm-a" }, fmt::format("127.0.0.1:{}", port_));
        broker_ = std::make_unique<TurnBroker>(
            *exchange_, *paced_, TurnBrokerOptions { { "vm-a" }, { "z" }, { "vm-a#1" }, 1 });
    }

    void tearDown() override
    {
        broker_.reset();
        exchange_.reset();
        paced_.reset();
        client_.reset();
        store_.reset();
        io_.reset();
    }

    // Guards against the end of the process by an exception: while the first of two turns was told that its
    // claim is pending, the end of an earlier turn that came behind it let the second one be granted, which
    // was then looked up as a waiting one. The end now comes after both replies.
    void repliesThatAreDueTogetherLetNoEndInBetween()
    {
        std::uint64_t earlier = grant("p").grant_;
        store_->faults().isSilent_ = true;
        fescue::test::RawConnection large(port_);
        fescue::test::RawConnection small(port_);
        CHECK(large.send(turn("p", 600, false) + endOf(earlier)));
        serve(Milliseconds { 20 });
        CHECK(small.send(turn("p", 300)));
        serve(Milliseconds { 200 });
        broker_->tick(false, bootNow());
        serve(Milliseconds { 20 });
        CHECK(readReply(large).decision_ == TurnDecision::ClaimPending);
        CHECK(readReply(small).decision_ == TurnDecision::ClaimPending);
        CHECK_EQUAL(0, static_cast<int>(grant("p").spent_.value_));
    }

    // Guards against the use of freed memory: the end of the first of two expired grants let a message in
    // that ended the second one, at which the search for expired grants went on. That message now comes after
    // the search, when the second grant counts as spent.
    void grantsThatExpireTogetherLetNoEndInBetween()
    {
        grant("p");
        std::uint64_t second = grant("q").grant_;
        serve(Milliseconds { 1600 }); // Grants expire in that time.
        store_->faults().isSilent_ = true;
        fescue::test::RawConnection waiting(port_);
        CHECK(waiting.send(turn("r", 300, false) + endOf(second)));
        serve(Milliseconds { 20 });
        // Each end of a turn refuses those that wait for the store if it is down.
        health_.isUp_ = false;
        broker_->tick(false, bootNow());
        serve(Milliseconds { 20 });
        CHECK(readReply(waiting).decision_ == TurnDecision::Unavailable);
        health_.isUp_ = true;
        CHECK_EQUAL(300, static_cast<int>(grant("q").spent_.value_));
    }
};

REGISTER_SUITE(PeerTurnsAhead);
