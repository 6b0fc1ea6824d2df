// Other VMs that answer at once, and always the same, are not asked again and again without a pause.

#include "BootClock.h"
#include "EventLoop.h"
#include "FreePort.h"
#include "FrontServer.h"
#include "PeerCaps.h"
#include "PlatformStore.h"
#include "StoreClient.h"
#include "Suite.h"
#include "TurnBroker.h"
#include "WorkspaceCaps.h"

#include <asio/ip/tcp.hpp>
#include <fmt/format.h>

using namespace fescue;

namespace {

constexpr Milliseconds measuredTime { 1000 };
constexpr Milliseconds tickInterval { 25 }; // Of an entry VM.
constexpr int waitingTurns = 20;
// A turn that others of its program hold up is asked for again after 120 ms.
constexpr int maxRequestsPerTurn = 10;

// Answers each request at once, and closes connections at once if it has no answer.
class OddPeer {
public:
    explicit OddPeer(asio::io_context& io)
        : server_(
            io, "127.0.0.1:0",
            [this](const FrontRequest&, const std::shared_ptr<FrontReply>& reply) {
                ++requests_;
                HttpHead head;
                head.status_ = status_;
                reply->answer(std::move(head), body_);
            },
            [](int, const char*, const HttpHead*) {})
        , closing_(io, { asio::ip::address_v4::loopback(), 0 })
    {
        accept();
    }
    int port(bool isClosing = false) const
    {
        return isClosing ? closing_.local_endpoint().port() : server_.port();
    }
    int requests() const { return requests_; }

    int status_ = 200;
    std::string body_;
    bool resets_ = false;

private:
    void accept()
    {
        closing_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++requests_;
            if (resets_)
                socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
            accept();
        });
    }

    FrontServer server_;
    asio::ip::tcp::acceptor closing_;
    int requests_ = 0;
};

std::string replyWith(TurnDecision decision, std::vector<WriterId> holders = {})
{
    TurnReply reply;
    reply.decision_ = decision;
    reply.holders_ = std::move(holders);
    return encode(reply);
}

} // namespace

class PeerPacing : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerPacing);
    CPPUNIT_TEST(claimsThatAreAlwaysPendingAreAskedForWithPauses);
    CPPUNIT_TEST(turnsAreAskedForWithPauses);
    CPPUNIT_TEST(capsAreAskedForWithPauses);
    CPPUNIT_TEST_SUITE_END();

    // Returns how often the peer, home of all turns, was asked while they waited.
    static int askForTurns(const std::function<void(OddPeer&)>& script, bool isClosing = false)
    {
        asio::io_context io(1);
        OddPeer peer(io);
        script(peer);
        standin::PlatformStore store(io);
        platform::StoreClient client(io, { asio::ip::address_v4::loopback(), store.port() });
        StoreHealth health;
        PacedStore paced(client, health, 1);
        PeerExchange exchange(io, { "vm-a" }, fmt::format("127.0.0.1:{}", fescue::test::findFreePort(io)));
        exchange.setPeers({ { { "vm-b" },
            { { "vm-b" }, { "z" }, fmt::format("127.0.0.1:{}", peer.port(isClosing)), { "vm-b#1" } } } });
        TurnBroker broker(exchange, paced, TurnBrokerOptions { { "vm-a" }, { "z" }, { "vm-a#1" }, 1 });
        for (int i = 0; i < waitingTurns; ++i) {
            TurnRequest request { { fmt::format("p{}", i) }, { 1000 }, { 300 }, Milliseconds { 60000 } };
            request.timeLeft_ = 2 * measuredTime;
            broker.requestTurn(request, [](const TurnGrant&) {});
        }
        runFor(io, [&](MonotonicTime now) {
            client.tick(now);
            exchange.tick(now);
            broker.tick(false, now);
            store.tick(now);
        });
        return peer.requests();
    }

    // Returns how often the peer was asked for the permits of one workspace, with requests waiting for some.
    static int askForCaps(const std::function<void(OddPeer&)>& script, bool isClosing = false)
    {
        asio::io_context io(1);
        OddPeer peer(io);
        script(peer);
        PeerExchange exchange(io, { "vm-a" }, {});
        std::map<VmId, PeerEntry> peers;
        for (const char* vm : { "vm-b", "vm-c" })
            peers[{ vm }] = { { vm }, { vm[3] == 'b' ? "z" : "y" },
                fmt::format("127.0.0.1:{}", peer.port(isClosing)), { vm } };
        exchange.setPeers(peers);
        VmSettings settings;
        settings.vm_ = { "vm-a" };
        settings.zone_ = { "z" };
        WorkspaceCaps caps(exchange, settings, { "vm-a#1" });
        ServingConfig config;
        config.workspaces_[{ "w" }].ratePerSecond_ = 5;
        config.workspaces_[{ "w" }].burst_ = 5;
        caps.setConfig(config);
        int decided = 0;
        runFor(io, [&](MonotonicTime now) {
            exchange.tick(now);
            caps.tick(now);
            caps.admit({ "w" }, [&decided](CapOutcome, Milliseconds) { ++decided; });
        });
        return peer.requests();
    }

    static void runFor(asio::io_context& io, const std::function<void(MonotonicTime)>& tick)
    {
        MonotonicTime nextTick = bootNow();
        MonotonicTime end = nextTick + measuredTime;
        fescue::test::runLoopUntil(
            io,
            [&] {
                if (bootNow() < nextTick)
                    return;
                nextTick = bootNow() + tickInterval;
                tick(bootNow());
            },
            [end] { return bootNow() >= end; });
    }

    static void checkRequests(const std::string& what, int requests, int most)
    {
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: {} requests, at most {}", what, requests, most),
            requests > 0 && requests <= most);
    }

    static void checkTurns(
        const std::string& what, const std::function<void(OddPeer&)>& script, bool isClosing = false)
    {
        int requests = askForTurns(script, isClosing);
        checkRequests(what, requests, waitingTurns * maxRequestsPerTurn);
    }

    static void checkCaps(
        const std::string& what, const std::function<void(OddPeer&)>& script, bool isClosing = false)
    {
        int requests = askForCaps(script, isClosing);
        checkRequests(what, requests, 100);
    }

public:
    // Guards against turns that are asked for at each tick, by every waiting turn, while their home says at
    // once that their claims are not written yet.
    void claimsThatAreAlwaysPendingAreAskedForWithPauses()
    {
        checkTurns("pending", [](OddPeer& peer) { peer.body_ = replyWith(TurnDecision::ClaimPending); });
    }

    void turnsAreAskedForWithPauses()
    {
        checkTurns("unavailable", [](OddPeer& peer) { peer.body_ = replyWith(TurnDecision::Unavailable); });
        checkTurns("in use", [](OddPeer& peer) { peer.body_ = replyWith(TurnDecision::InUse); });
        checkTurns("held by itself", [](OddPeer& peer) {
            peer.body_ = replyWith(TurnDecision::HeldElsewhere, { { "vm-b#1" }, { "vm-b#1" } });
        });
        checkTurns("held by this VM",
            [](OddPeer& peer) { peer.body_ = replyWith(TurnDecision::HeldElsewhere, { { "vm-a#1" } }); });
        checkTurns("malformed", [](OddPeer& peer) { peer.body_ = "odd"; });
        checkTurns("503", [](OddPeer& peer) { peer.status_ = 503; });
        checkTurns(
            "closes", [](OddPeer&) {}, true);
        checkTurns(
            "resets", [](OddPeer& peer) { peer.resets_ = true; }, true);
    }

    void capsAreAskedForWithPauses()
    {
        checkCaps("malformed", [](OddPeer& peer) { peer.body_ = "odd"; });
        checkCaps("503", [](OddPeer& peer) { peer.status_ = 503; });
        checkCaps(
            "closes", [](OddPeer&) {}, true);
        checkCaps(
            "resets", [](OddPeer& peer) { peer.resets_ = true; }, true);
        GrantReply reply;
        reply.writer_ = { "vm-b" };
        checkCaps("no giver", [&](OddPeer& peer) { peer.body_ = encode(reply); });
        reply.giver_ = { "vm-c" };
        checkCaps("another giver", [&](OddPeer& peer) { peer.body_ = encode(reply); });
        reply.giver_ = {};
        reply.isGiver_ = true;
        checkCaps("giver without lines", [&](OddPeer& peer) { peer.body_ = encode(reply); });
        reply.lines_.push_back({ { "w" }, 0, Milliseconds { 0 } });
        checkCaps("giver without permits", [&](OddPeer& peer) { peer.body_ = encode(reply); });
        reply.lines_[0].retryAfter_ = Milliseconds { 1 };
        checkCaps("giver that refuses for 1 ms", [&](OddPeer& peer) { peer.body_ = encode(reply); });
    }
};

REGISTER_SUITE(PeerPacing);
