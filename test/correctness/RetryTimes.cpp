// The time after which a refused turn may come again lies within what its caller still has.

#include "BootClock.h"
#include "CallForwarder.h"
#include "PacedStore.h"
#include "StoreClient.h"
#include "Suite.h"
#include "TurnAdmission.h"

#include <fmt/format.h>

using namespace fescue;

namespace {

// Keeps the answer for the test.
class KeptReply final : public FrontReply {
public:
    void answer(HttpHead head, std::string_view) override { head_ = std::move(head); }
    void begin(HttpHead head) override { head_ = std::move(head); }
    void write(std::string_view) override { }
    void end() override { }
    void abort() override { }
    std::size_t pendingBytes() const override { return 0; }
    void onDisconnect(std::function<void()>) override { }
    const HttpHead& head() const { return head_; }

private:
    HttpHead head_;
};

} // namespace

class RetryTimes : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RetryTimes);
    CPPUNIT_TEST(programRefusedAfterItsDeadlineMayComeAtOnce);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context io_ { 1 };
    asio::ip::tcp::acceptor listener_ { io_, { asio::ip::address_v4::loopback(), 0 } };
    asio::ip::tcp::endpoint address_ = listener_.local_endpoint();
    platform::StoreClient client_ { io_, address_ };
    StoreHealth health_;
    PacedStore paced_ { client_, health_, 1 };
    PeerExchange exchange_ { io_, { "vm-a" }, {} };
    TurnBroker broker_ { exchange_, paced_, { { "vm-a" }, { "z" }, { "vm-a#1" }, 1 } };
    CallForwarder forwarder_ { io_, client_, exchange_, { "z" }, { "vm-a#1" }, 1 };
    Random random_ { 1 };
    TurnAdmission admission_ { broker_, forwarder_, health_, random_ };

    // Listens, and answers nothing.
    void addEngine()
    {
        TargetEntry engine { { "e" }, { "llm" }, fmt::format("127.0.0.1:{}", address_.port()), { "z" }, 1 };
        TargetList list;
        list.entries_[engine.id_] = engine;
        ServingConfig config;
        config.services_[{ "llm" }] = ServiceTraits { { "llm" }, true };
        forwarder_.setTargets(list, config);
    }

    ForwardedCall turn(MonotonicTime deadline) const
    {
        ForwardedCall call;
        call.request_.head_.method_ = "POST";
        call.request_.head_.target_ = "/turn/x";
        call.request_.arrived_ = bootNow();
        call.tags_.program_ = { "p" };
        call.tags_.programBudget_ = TokenCount { 1000 };
        call.tags_.maxTokens_ = { 100 };
        call.service_ = ServiceTraits { { "llm" }, true };
        call.deadline_ = deadline;
        call.reply_ = std::make_shared<KeptReply>();
        return call;
    }

public:
    // Guards against a Retry-After of any number, also a negative one: the deadline of the turn had passed
    // since the last tick, and the bounds of the random time were reversed.
    void programRefusedAfterItsDeadlineMayComeAtOnce()
    {
        addEngine();
        constexpr int enough = 6; // Calls beyond the engine's slot wait in the queue.
        for (int i = 0; i < enough; ++i)
            forwarder_.forward(turn(bootNow() + Milliseconds { 5000 }));
        for (int i = 0; i < enough; ++i) {
            ForwardedCall late = turn(bootNow() - Milliseconds { 10 });
            auto reply = std::static_pointer_cast<KeptReply>(late.reply_);
            admission_.admit(std::move(late));
            CHECK_EQUAL(503, reply->head().status_);
            const std::string* retryAfter = findHeader(reply->head(), "Retry-After");
            CHECK(retryAfter);
            CHECK_EQUAL(std::string("0.00"), *retryAfter);
        }
    }
};

REGISTER_SUITE(RetryTimes);
