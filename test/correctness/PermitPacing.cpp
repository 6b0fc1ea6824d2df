// Permits for a target's rate that nobody gives out are not asked for again and again without a pause.

#include "BootClock.h"
#include "CallForwarder.h"
#include "EventLoop.h"
#include "PeerPermits.h"
#include "RateLimits.h"
#include "StoreClient.h"
#include "Suite.h"

#include <fmt/format.h>

using namespace fescue;

namespace {

constexpr Milliseconds measuredTime { 1000 };
// Of one VM, for one target.
constexpr int maxRequestsPerSecond = 100;
constexpr Milliseconds timeLeft { 4000 };

class StatusReply final : public FrontReply {
public:
    void answer(HttpHead head, std::string_view) override { status_ = head.status_; }
    void begin(HttpHead head) override { status_ = head.status_; }
    void write(std::string_view) override { }
    void end() override { }
    void abort() override { }
    std::size_t pendingBytes() const override { return 0; }
    void onDisconnect(std::function<void()>) override { }

    int status_ = 0;
};

} // namespace

class PermitPacing : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PermitPacing);
    CPPUNIT_TEST(targetThatWorksOnAfterItsRestartHasNoRate);
    CPPUNIT_TEST(rateThatTheNewStartNamesIsKept);
    CPPUNIT_TEST(permitsRefusedWithoutATimeAreAskedForAgainLater);
    CPPUNIT_TEST(permitsThatAPeerCannotGiveAreAskedForAgainLater);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context io_ { 1 };
    bool namesRate_ = true;
    int asked_ = 0; ///< Requests for permits at the peer.
    std::string permits_; ///< What the peer answers.
    int permitsStatus_ = 200;
    FrontServer target_ { io_, "127.0.0.1:0",
        [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
            HttpHead head;
            head.status_ = 200;
            head.headers_
                = { { "Fescuewinch-Request-Id", *findHeader(request.head_, "Fescuewinch-Request-Id") },
                      { "Fescuewinch-Response-Stamp", "stamp" } };
            if (namesRate_)
                head.headers_.push_back({ "Server-Limit", "0.5" });
            reply->answer(std::move(head), "done");
        },
        [](int, const char*, const HttpHead*) {} };
    FrontServer peer_ { io_, "127.0.0.1:0",
        [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
            auto message = parsePermitRequest(request.body_, bootNow());
            asked_ += message && message->wanted_ > 0 ? 1 : 0;
            HttpHead head;
            head.status_ = permitsStatus_;
            reply->answer(std::move(head), permits_);
        },
        [](int, const char*, const HttpHead*) {} };
    platform::StoreClient store_ { io_, { asio::ip::address_v4::loopback(), 1 } };
    PeerExchange exchange_ { io_, { "vm-a" }, {} };
    CallForwarder forwarder_ { io_, store_, exchange_, { "z" }, { "vm-a#1" }, 1 };
    TargetList list_;

    void setTarget(Milliseconds startedAt, std::uint64_t heartbeat)
    {
        TargetEntry entry { { "t" }, { "app" }, fmt::format("127.0.0.1:{}", target_.port()), { "z" }, 100 };
        entry.startedAt_ = startedAt;
        entry.heartbeat_ = heartbeat;
        list_.entries_[entry.id_] = entry;
    }

    void setPeer(const std::string& vm, int port)
    {
        exchange_.setPeers({ { { vm }, { { vm }, { "z" }, fmt::format("127.0.0.1:{}", port), { vm } } } });
    }

    std::shared_ptr<StatusReply> forward(const std::string& attempt)
    {
        ForwardedCall call;
        call.request_.head_.method_ = "POST";
        call.request_.head_.target_ = "/call/x";
        call.request_.head_.headers_ = { { "Host", "h" }, { "Fescuewinch-Request-Id", attempt } };
        call.request_.arrived_ = bootNow();
        call.tags_.attempt_ = { attempt };
        call.service_.id_ = { "app" };
        call.deadline_ = bootNow() + timeLeft;
        auto reply = std::make_shared<StatusReply>();
        call.reply_ = reply;
        forwarder_.forward(std::move(call));
        return reply;
    }

    template <typename Condition> void runUntil(const Condition& holds)
    {
        fescue::test::runLoopUntil(
            io_,
            [this] {
                exchange_.tick(bootNow());
                forwarder_.tick(list_, bootNow());
            },
            holds);
    }

    // The target names its rate with the first answer.
    void learnRate()
    {
        setTarget(Milliseconds { 1000 }, 1);
        forwarder_.setTargets(list_, {});
        auto first = forward("first");
        runUntil([&] { return first->status_ != 0; });
        CHECK_EQUAL(200, first->status_);
    }

    void checkAskedWithPauses()
    {
        learnRate();
        for (int i = 0; i < 20; ++i)
            forward(fmt::format("waiting-{}", i));
        MonotonicTime end = bootNow() + measuredTime;
        runUntil([end] { return bootNow() >= end; });
        CPPUNIT_ASSERT_MESSAGE(fmt::format("asked {} times", asked_),
            asked_ <= maxRequestsPerSecond * measuredTime.count() / 1000);
        CHECK(asked_ > 0);
    }

public:
    // Guards against a target that is cut off, and a VM that uses all of its processor: the belief in the
    // rate ended while the target's gate stayed, for which nobody can then give out permits.
    void targetThatWorksOnAfterItsRestartHasNoRate()
    {
        setPeer("vm-a", 1);
        learnRate();
        namesRate_ = false;
        setTarget(Milliseconds { 2000 }, 1);
        forwarder_.setTargets(list_, {});
        // Reports that change nothing else are not passed on as a new list.
        setTarget(Milliseconds { 2000 }, 4);
        forwarder_.tick(list_, bootNow());
        auto second = forward("second");
        MonotonicTime start = bootNow();
        std::size_t rounds = 0;
        while (second->status_ == 0 && bootNow() < start + measuredTime) {
            rounds += io_.run_for(std::chrono::milliseconds(1));
            io_.restart();
            forwarder_.tick(list_, bootNow());
        }
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} handlers ran", rounds), rounds < 1000);
        CHECK_EQUAL(200, second->status_);
    }

    // Guards against more requests than a target takes: a start that has named its rate since was taken for
    // one that had not.
    void rateThatTheNewStartNamesIsKept()
    {
        const TargetId id { "i-1" };
        const Milliseconds before { 1000 };
        const Milliseconds after { 2000 };
        MonotonicTime now = MonotonicTime {} + Milliseconds { 100000 };
        RateLimits limits;
        TargetList list;
        list.followedSince_ = MonotonicTime {} + Milliseconds { 1 };
        TargetEntry& entry = list.entries_[id];
        entry.startedAt_ = before;
        entry.heartbeat_ = 50;
        // It has named the rate before the list shows its new start.
        CHECK(recordRate(limits, { id, before }, { RequestRate { 2 }, now }, now));
        entry.startedAt_ = after;
        entry.heartbeat_ = 1;
        for (int report = 0; report < 8; ++report) {
            now += Milliseconds { 1000 };
            list.readAt_ = now;
            CHECK(endBeliefs(limits.beliefs_, list, now).empty());
            recordRate(limits, { id, after }, { RequestRate { 2 }, now }, now);
            ++entry.heartbeat_;
        }
        CHECK(rateOf(limits, { id, after }).has_value());
    }

    void permitsRefusedWithoutATimeAreAskedForAgainLater()
    {
        setPeer("vm-b", peer_.port());
        PermitReply none;
        none.expected_ = { 50 };
        permits_ = encode(none, bootNow());
        checkAskedWithPauses();
    }

    void permitsThatAPeerCannotGiveAreAskedForAgainLater()
    {
        setPeer("vm-b", peer_.port());
        permitsStatus_ = 503;
        checkAskedWithPauses();
    }
};

REGISTER_SUITE(PermitPacing);
