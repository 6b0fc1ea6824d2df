// Guards against messages of other VMs that are taken for something else when they are damaged.

#include "PeerPermits.h"
#include "PeerProtocol.h"
#include "RelayedCall.h"
#include "Suite.h"

using namespace fescue;

namespace {

MonotonicTime now() { return MonotonicTime(Milliseconds { 1000000 }); }

ForwardedCall call()
{
    ForwardedCall call;
    call.request_.head_.method_ = "POST";
    call.request_.head_.target_ = "/call/1?x=1";
    call.request_.head_.headers_ = { { "Host", "h.example" }, { "Odd", "" } };
    call.request_.body_ = std::string("pay\0\xff", 5);
    call.route_.name_ = "calls";
    call.route_.maxAttempts_ = 3;
    call.route_.isStream_ = true;
    call.route_.priority_ = 1;
    call.service_.id_ = { "app" };
    call.version_ = SoftwareVersion { "v2" };
    call.cachingTarget_ = { "i-1" };
    call.deadline_ = now() + Milliseconds { 900 };
    return call;
}

// Calls `accepts` with each prefix of a message, and with each of its bytes changed.
template <typename Check> void damage(const std::string& message, const Check& accepts)
{
    for (std::size_t size = 0; size < message.size(); ++size)
        CHECK(!accepts(message.substr(0, size)));
    CHECK(!accepts(message + "x"));
    for (std::size_t at = 0; at < message.size(); ++at) {
        for (unsigned bits : { 0x01U, 0x20U, 0x80U, 0xffU }) {
            std::string damaged = message;
            damaged[at] = static_cast<char>(static_cast<unsigned char>(damaged[at]) ^ bits);
            accepts(damaged); // Must not fail in any other way than by returning nothing.
        }
    }
}

} // namespace

class PeerMessages : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerMessages);
    CPPUNIT_TEST(relayedCallIsReadAsItWasWritten);
    CPPUNIT_TEST(damagedRelayedCallIsRejected);
    CPPUNIT_TEST(outcomeIsReadOnceAndRemoved);
    CPPUNIT_TEST(statementOfTheTargetIsReadAndRemoved);
    CPPUNIT_TEST(peersThatNameNoVersionSpeakTheFirst);
    CPPUNIT_TEST(permitsAreReadAsTheyWereWritten);
    CPPUNIT_TEST(damagedPermitMessagesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void relayedCallIsReadAsItWasWritten()
    {
        auto read = parseRelayedCall(encode(call(), 1, now()), now());
        CHECK(read.has_value());
        CHECK_EQUAL(std::string("/call/1?x=1"), read->request_.head_.target_);
        CHECK_EQUAL(std::string("h.example"), *findHeader(read->request_.head_, "Host"));
        CHECK_EQUAL(std::string("pay\0\xff", 5), read->request_.body_);
        CHECK_EQUAL(std::uint32_t { 2 }, read->route_.maxAttempts_);
        CHECK(read->route_.repeatability_ == Repeatability::AtMostOnce && read->route_.isStream_);
        CHECK(read->version_ == SoftwareVersion { "v2" });
        CHECK(read->deadline_ == now() + Milliseconds { 900 });
        CHECK(read->service_.id_ == ServiceId { "app" } && read->cachingTarget_ == TargetId { "i-1" });
    }

    void damagedRelayedCallIsRejected()
    {
        damage(encode(call(), 0, now()),
            [](const std::string& bytes) { return parseRelayedCall(bytes, now()).has_value(); });
    }

    void outcomeIsReadOnceAndRemoved()
    {
        HttpHead head;
        head.headers_.push_back({ "Content-Type", "text/plain" });
        addOutcome(head, { { "i-1" }, { "v2" }, 0, false });
        auto outcome = takeOutcome(head);
        CHECK(outcome && outcome->target_ == TargetId { "i-1" } && outcome->version_.value_ == "v2");
        CHECK_EQUAL(std::size_t { 1 }, head.headers_.size());
        CHECK(!takeOutcome(head));
        addOutcome(head, { {}, {}, 2, false });
        outcome = takeOutcome(head);
        CHECK(outcome && outcome->target_.empty() && outcome->possibleRuns_ == 2 && !outcome->isUnavailable_);
    }

    void statementOfTheTargetIsReadAndRemoved()
    {
        for (const std::optional<double>& rate : { std::optional<double>(), std::optional<double>(6.25) }) {
            HttpHead head;
            addOutcome(head,
                { { "i-1" }, { "v2" }, 0, false, RelayedStatement { Milliseconds { 77 }, true, rate } });
            auto outcome = takeOutcome(head);
            CHECK(outcome && outcome->statement_);
            CHECK(outcome->statement_->startedAt_ == Milliseconds { 77 });
            CHECK(outcome->statement_->isLeaving_);
            CHECK(outcome->statement_->rateLimit_ == rate);
            CHECK(head.headers_.empty());
        }
        for (const char* malformed : { "", "x", "7", "7 1", "-7 1 none", "7 1 nan", "7 1 -2", "7 1 2x" }) {
            HttpHead head;
            addOutcome(head, { { "i-1" }, { "v2" }, 0, false });
            head.headers_.push_back({ "Fescue-Relay-Statement", malformed });
            CHECK(!takeOutcome(head)->statement_);
        }
    }

    void peersThatNameNoVersionSpeakTheFirst()
    {
        HttpHead head;
        CHECK(!understands(protocolOf(head), PeerFeature::RelayedStatements));
        head.headers_ = { { "Fescue-Protocol", "x" } };
        CHECK(!understands(protocolOf(head), PeerFeature::RelayedStatements));
        head.headers_.clear();
        addProtocol(head);
        CHECK(understands(protocolOf(head), PeerFeature::RelayedStatements));
    }

    void permitsAreReadAsTheyWereWritten()
    {
        PermitRequest request { { "vm" }, { { "i-1" }, Milliseconds { 7 } }, { "z" },
            { RequestRate { 6.5 }, now() - Milliseconds { 40 } }, 3 };
        auto read = parsePermitRequest(encode(request, now()), now());
        CHECK(read && read->wanted_ == 3 && read->start_.startedAt_ == Milliseconds { 7 });
        CHECK(read->last_.rate_ == RequestRate { 6.5 });
        CHECK(read->last_.observedAt_ == now() - Milliseconds { 40 });
        PermitReply reply { 2, Milliseconds { 150 }, { 1.5 }, RateObservation { std::nullopt, now() } };
        auto back = parsePermitReply(encode(reply, now()), now());
        CHECK(back && back->granted_ == 2 && back->last_ && !back->last_->rate_);
        reply.last_.reset();
        CHECK(!parsePermitReply(encode(reply, now()), now())->last_);
    }

    void damagedPermitMessagesAreRejected()
    {
        PermitRequest request { { "vm" }, { { "i-1" }, Milliseconds { 7 } }, { "z" },
            { RequestRate { 6.5 }, now() }, 3 };
        damage(encode(request, now()),
            [](const std::string& bytes) { return parsePermitRequest(bytes, now()).has_value(); });
        PermitReply reply { 2, Milliseconds { 150 }, { 1.5 }, RateObservation { RequestRate { 2 }, now() } };
        damage(encode(reply, now()),
            [](const std::string& bytes) { return parsePermitReply(bytes, now()).has_value(); });
    }
};

REGISTER_SUITE(PeerMessages);
