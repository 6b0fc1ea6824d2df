// Requests that wait while this VM loses its links to targets, and no other VM can take them.

#include "BootClock.h"
#include "CallForwarder.h"
#include "EventLoop.h"
#include "FreePort.h"
#include "StoreClient.h"
#include "Suite.h"

#include <algorithm>
#include <fmt/format.h>
#include <thread>

using namespace fescue;

namespace {

// Keeps the status for the test, and lets in what the caller has sent ahead at once.
class AheadReply final : public FrontReply {
public:
    void answer(HttpHead head, std::string_view) override
    {
        status_ = head.status_;
        if (next_)
            std::exchange(next_, nullptr)();
    }
    void begin(HttpHead head) override { status_ = head.status_; }
    void write(std::string_view) override { }
    void end() override { }
    void abort() override { }
    std::size_t pendingBytes() const override { return 0; }
    void onDisconnect(std::function<void()>) override { }

    int status_ = 0;
    std::function<void()> next_;
};

} // namespace

class QueuedRelays : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QueuedRelays);
    CPPUNIT_TEST(requestThatIsSentMeanwhileRunsOnce);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context io_ { 1 };
    std::vector<std::string> runs_; ///< At the target that is up.
    FrontServer target_ { io_, "127.0.0.1:0",
        [this](
            const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) { run(request, *reply); },
        [](int, const char*, const HttpHead*) {} };
    platform::StoreClient store_ { io_, { asio::ip::address_v4::loopback(), 1 } };
    PeerExchange exchange_ { io_, { "vm-a" }, {} };
    CallForwarder forwarder_ { io_, store_, exchange_, { "z" }, { "vm-a#1" }, 1 };
    TargetList list_;

    // States that it is busy with the calls of other VMs.
    void run(const FrontRequest& request, FrontReply& reply)
    {
        std::string attempt = *findHeader(request.head_, "Fescuewinch-Request-Id");
        runs_.push_back(attempt);
        HttpHead head;
        head.status_ = 200;
        head.headers_ = { { "Fescuewinch-Request-Id", attempt }, { "Fescuewinch-Response-Stamp", "stamp" },
            { "Fescuewinch-Instance-Load", "11,0,1" } };
        reply.answer(std::move(head), "done");
    }

    void addTarget(const char* id, const char* service, const char* zone, int port)
    {
        list_.entries_[{ id }]
            = TargetEntry { { id }, { service }, fmt::format("127.0.0.1:{}", port), { zone }, 1 };
    }

    std::shared_ptr<AheadReply> forward(const char* attempt, const char* service, Milliseconds timeLeft)
    {
        ForwardedCall call;
        call.request_.head_.method_ = "POST";
        call.request_.head_.target_ = "/call/x";
        call.request_.head_.headers_ = { { "Host", "h" }, { "Fescuewinch-Request-Id", attempt } };
        call.request_.arrived_ = bootNow();
        call.tags_.attempt_ = { attempt };
        call.service_.id_ = { service };
        call.deadline_ = bootNow() + timeLeft;
        auto reply = std::make_shared<AheadReply>();
        call.reply_ = reply;
        forwarder_.forward(std::move(call));
        return reply;
    }

    template <typename Condition> void runUntil(const Condition& holds)
    {
        fescue::test::runLoopUntil(
            io_, [] {}, holds);
    }

public:
    // Guards against a second run of a request that must run once: the refusal of the first of two that
    // waited let the next one of its caller in, and with it the second one was sent; that was then
    // cancelled and queued again as one that waits.
    void requestThatIsSentMeanwhileRunsOnce()
    {
        addTarget("up", "app", "y", target_.port());
        addTarget("down", "other", "z", fescue::test::findFreePort(io_));
        forwarder_.setTargets(list_, {});
        constexpr Milliseconds timeLeft { 5000 };
        auto first = forward("first", "app", timeLeft);
        runUntil([&] { return first->status_ == 200; });
        // The target counts as busy for about 1.6 s, so these wait.
        MonotonicTime busyUntil = bootNow() + Milliseconds { 1900 };
        auto late = forward("late", "app", Milliseconds { 1800 });
        auto waiting = forward("waiting", "app", timeLeft);
        std::shared_ptr<AheadReply> ahead;
        late->next_ = [this, &ahead, timeLeft] { ahead = forward("ahead", "app", timeLeft); };
        runUntil([&] { return bootNow() >= busyUntil - Milliseconds { 600 }; });
        CHECK_EQUAL(std::size_t { 2 }, forwarder_.queuedCallCount());
        // The only target of the own zone cannot be reached.
        forward("stranding", "other", timeLeft);
        runUntil([this] { return forwarder_.isStranded(); });
        CHECK_EQUAL(std::size_t { 2 }, forwarder_.queuedCallCount());
        std::this_thread::sleep_for(busyUntil - bootNow());
        forwarder_.tick(list_, bootNow());
        CHECK_EQUAL(503, late->status_);
        CHECK(ahead != nullptr);
        fescue::test::runLoopUntil(
            io_, [this] { forwarder_.tick(list_, bootNow()); },
            [&] { return waiting->status_ != 0 && ahead->status_ != 0; });
        CHECK_EQUAL(200, waiting->status_);
        CHECK_EQUAL(std::ptrdiff_t { 1 }, std::count(runs_.begin(), runs_.end(), "waiting"));
    }
};

REGISTER_SUITE(QueuedRelays);
