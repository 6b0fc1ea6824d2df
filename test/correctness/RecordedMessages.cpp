// Guards against a change of the messages between VMs, or of their records in the store, that releases side
// by side would not understand. The bytes were made by the encoders of landed revisions: messages of b1378d1,
// which 81d1291 and 31f6e86 encode in the same way; those of 81d1291, which 31f6e86 encodes in the same way;
// and those of 31f6e86.
//
// A message with another form needs a new path or prefix, and a record here with the revision that made it.

#include "ConversationMessages.h"
#include "CrashRecords.h"
#include "PeerList.h"
#include "PeerPermits.h"
#include "PeerStreams.h"
#include "PeerTurns.h"
#include "RelayedCall.h"
#include "Suite.h"

#include <algorithm>
#include <cctype>

using namespace fescue;

namespace {

MonotonicTime now() { return MonotonicTime(Milliseconds { 1000000 }); }

std::string fromHex(const std::string& digits)
{
    constexpr int hexadecimal = 16;
    std::string bytes;
    for (std::size_t i = 0; i < digits.size(); i += 2)
        bytes += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, hexadecimal));
    return bytes;
}

// Checks that today's decoder reads recorded bytes, that what it has read is encoded into the same bytes, and
// that no damaged form of them is taken for a message of another content without notice.
template <typename Parse, typename Encode>
void checkRecorded(const std::string& digits, const Parse& parse, const Encode& encodeAgain)
{
    std::string bytes = fromHex(digits);
    auto message = parse(bytes);
    CHECK(message);
    CHECK(encodeAgain(*message) == bytes);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK(!parse(bytes.substr(0, size)));
    CHECK(!parse(bytes + '\0'));
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        for (unsigned bits : { 0x01U, 0x20U, 0x80U, 0xffU }) {
            std::string damaged = bytes;
            damaged[at] = static_cast<char>(static_cast<unsigned char>(damaged[at]) ^ bits);
            parse(damaged); // Must not fail in any other way than by returning nothing.
        }
    }
}

} // namespace

class RecordedMessages : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecordedMessages);
    CPPUNIT_TEST(budgetMessagesOfB1378d1AreRead);
    CPPUNIT_TEST(streamMessagesOfB1378d1AreRead);
    CPPUNIT_TEST(entriesOfVmsOfB1378d1AreRead);
    CPPUNIT_TEST(crashRecordsOfB1378d1AreRead);
    CPPUNIT_TEST(permitMessagesOf81d1291AreRead);
    CPPUNIT_TEST(relayedCallOf81d1291IsRead);
    CPPUNIT_TEST(conversationMessagesOf31f6e86AreRead);
    CPPUNIT_TEST(recordsOfTurnsOf31f6e86AreRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void budgetMessagesOfB1378d1AreRead()
    {
        const auto* request = "866633666138316319118819023119ea60190b8601";
        checkRecorded(request, parseTurnRequest, [](const auto& m) { return encode(m); });
        auto turn = parseTurnRequest(fromHex(request));
        CHECK(turn->program_ == ProgramId { "3fa81c" });
        CHECK(turn->budget_ == TokenCount { 4488 } && turn->maxTokens_ == TokenCount { 561 });
        CHECK(turn->retention_ == Milliseconds { 60000 } && turn->timeLeft_ == Milliseconds { 2950 });
        CHECK(turn->canStartProgram_);
        const auto* answer = "878266766d2d622f3166766d2d632f32030719012c1904b019023163692d31";
        checkRecorded(answer, parseTurnReply, [](const auto& m) { return encode(m); });
        auto reply = parseTurnReply(fromHex(answer));
        CHECK(reply->decision_ == TurnDecision::HeldElsewhere && reply->grant_ == 7);
        CHECK_EQUAL(std::size_t { 2 }, reply->holders_.size());
        CHECK(reply->spent_ == TokenCount { 300 } && reply->claimed_ == TokenCount { 1200 });
        CHECK(reply->othersClaimed_ == TokenCount { 561 } && reply->lastTarget_ == TargetId { "i-1" });
        const auto* ended = "830719010063692d31";
        checkRecorded(ended, parseTurnEnd, [](const auto& m) { return encode(m); });
        auto end = parseTurnEnd(fromHex(ended));
        CHECK(
            end->grant_ == 7 && end->usedTokens_ == TokenCount { 256 } && end->target_ == TargetId { "i-1" });
    }

    void streamMessagesOfB1378d1AreRead()
    {
        const auto* copies = "82836439633431636c6c6d6476312e31836439633432636c6c6d627632";
        checkRecorded(copies, parseStreams, [](const auto& m) { return encode(m); });
        auto streams = parseStreams(fromHex(copies));
        CHECK_EQUAL(std::size_t { 2 }, streams->size());
        CHECK(streams->front().attempt_ == AttemptId { "9c41" });
        CHECK(streams->front().origin_ == (StreamOrigin { { "llm" }, { "v1.1" } }));
        checkRecorded("826439633431636c6c6d", parseOriginQuery, [](const auto& m) { return encode(m); });
        const auto* reply = "8282636c6c6d6476312e3181627632";
        checkRecorded(reply, parseOriginReply, [](const auto& m) { return encode(m); });
        CHECK(parseOriginReply(fromHex(reply))->soleVersion_ == SoftwareVersion { "v2" });
    }

    void entriesOfVmsOfB1378d1AreRead()
    {
        std::string value
            = fromHex("5b227a61222c2231302e312e302e33383a37333830222c22766d2d612f3062616463616665225d");
        auto entry = parsePeer("vm-a", value);
        CHECK(entry && entry->zone_ == ZoneId { "za" } && entry->address_ == "10.1.0.38:7380");
        CHECK(entry->writer_ == WriterId { "vm-a/0badcafe" });
        CHECK_EQUAL(value, peerValue(*entry));
    }

    void crashRecordsOfB1378d1AreRead()
    {
        std::string value = fromHex(
            "5b313737313337363930323530302c5b22692d314031373731333736393032303030222c22692d324030225d"
            "5d");
        auto stored = parseCrashRecord("crash:0123456789abcdef:vm-a/1", value);
        CHECK(stored && stored->crashes_.size() == 2);
        CHECK(stored->recordedAt_ == Milliseconds { 1771376902500 });
        CHECK_EQUAL(value, crashRecordValue(stored->crashes_, stored->recordedAt_));
    }

    void permitMessagesOf81d1291AreRead()
    {
        const auto* question = "8764766d2d6163692d31627a611b0000019c6e4a7f7003fa40c800001828";
        auto encodeAgain = [](const auto& m) { return encode(m, now()); };
        checkRecorded(
            question, [](const std::string& b) { return parsePermitRequest(b, now()); }, encodeAgain);
        auto request = parsePermitRequest(fromHex(question), now());
        CHECK(request->start_.target_ == TargetId { "i-1" } && request->wanted_ == 3);
        CHECK(request->start_.startedAt_ == Milliseconds { 1771376902000 });
        CHECK(request->last_.rate_ == RequestRate { 6.25 });
        const auto* answer = "85021896fa3fc00000fa40c800001828";
        checkRecorded(
            answer, [](const std::string& b) { return parsePermitReply(b, now()); }, encodeAgain);
        auto reply = parsePermitReply(fromHex(answer), now());
        CHECK(reply->granted_ == 2 && reply->retryAfter_ == Milliseconds { 150 });
    }

    void relayedCallOf81d1291IsRead()
    {
        const auto* recorded
            = "8e64504f53546b2f63616c6c2f313f783d316563616c6c736361707062763263692d31011903840200010184"
              "64486f737469682e6578616d706c65634f64646043706179";
        // The attempts that are left are in the message, so none were used up of those that were read.
        checkRecorded(
            recorded, [](const std::string& b) { return parseRelayedCall(b, now()); },
            [](const auto& m) { return encode(m, 0, now()); });
        auto call = parseRelayedCall(fromHex(recorded), now());
        CHECK_EQUAL(std::string("/call/1?x=1"), call->request_.head_.target_);
        CHECK_EQUAL(std::string("pay"), call->request_.body_);
        CHECK(call->route_.maxAttempts_ == 2 && call->route_.isStream_);
        CHECK(call->route_.repeatability_ == Repeatability::AtMostOnce);
        CHECK(call->version_ == SoftwareVersion { "v2" } && call->cachingTarget_ == TargetId { "i-1" });
    }

    void conversationMessagesOf31f6e86AreRead()
    {
        auto encodeAgain = [](const auto& m) { return encode(m, now()); };
        checkRecorded("82627432190190", parseChainQuery, [](const auto& m) { return encode(m); });
        const auto* found
            = "820082821913888462743180687175657374696f6e67616e737765720a8219ea608462743281627431646d6f"
              "726560";
        checkRecorded(
            found, [](const std::string& b) { return parseChainReply(b, now()); }, encodeAgain);
        auto reply = parseChainReply(fromHex(found), now());
        CHECK(reply->status_ == ChainStatus::Found && reply->chain_.size() == 2);
        CHECK_EQUAL(std::string("answer\n"), reply->chain_.front().turn_->output_);
        checkRecorded(
            "82821913888462743180687175657374696f6e67616e737765720a8219ea608462743281627431646d6f7265"
            "60",
            [](const std::string& b) { return parseTurns(b, now()); }, encodeAgain);
        checkRecorded(
            "8382821913888462743180687175657374696f6e67616e737765720a8219ea608462743281627431646d6f72"
            "656019ea60190384",
            [](const std::string& b) { return parseKeepRequest(b, now()); }, encodeAgain);
    }

    void recordsOfTurnsOf31f6e86AreRead()
    {
        checkRecorded(
            "830318d26964766d2d612f312e37", parseTurnPointer, [](const auto& m) { return encode(m); });
        const auto* kept = "8462743281627431646d6f726560";
        checkRecorded(kept, parseKeptTurn, [](const auto& m) { return encode(m); });
        auto turn = parseKeptTurn(fromHex(kept));
        CHECK(turn->id_ == AttemptId { "t2" } && turn->ancestors_.size() == 1 && turn->input_ == "more");
    }
};

REGISTER_SUITE(RecordedMessages);
