// The text of conversations: the data of event streams, and the bounded cache of turns.

#include "Conversation.h"
#include "ConversationPeers.h"
#include "EventData.h"
#include "Suite.h"

using namespace fescue;

namespace {

// Feeds the bytes one by one, so that each line end falls between two reads.
std::string dataOf(const std::string& stream)
{
    EventData data;
    for (char byte : stream)
        data.feed({ &byte, 1 });
    EventData whole;
    whole.feed(stream);
    CHECK_EQUAL(whole.text(), data.text());
    return whole.text();
}

StoredTurn makeTurn(const std::string& id, std::vector<AttemptId> ancestors = {}, std::size_t bytes = 10)
{
    return { std::make_shared<KeptTurn>(
                 KeptTurn { { id }, std::move(ancestors), std::string(bytes, 'i'), "out of " + id + "\n" }),
        {} };
}

constexpr MonotonicTime start { Milliseconds { 1000 } };

} // namespace

class ConversationTexts : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConversationTexts);
    CPPUNIT_TEST(dataOfEachEventEndsWithALineFeed);
    CPPUNIT_TEST(otherFieldsAndCommentsAreNoData);
    CPPUNIT_TEST(incompleteEventHasNoData);
    CPPUNIT_TEST(textOfAChainIsInOrder);
    CPPUNIT_TEST(chainWithAMissingAncestorIsNotFound);
    CPPUNIT_TEST(cacheStaysWithinItsBytesAndEvictsTheLeastRecentlyUsed);
    CPPUNIT_TEST(unusedTurnsAreEvicted);
    CPPUNIT_TEST(vmForAKeyIsTheFirstUsableOneOfTheRanking);
    CPPUNIT_TEST_SUITE_END();

public:
    void dataOfEachEventEndsWithALineFeed()
    {
        CHECK_EQUAL(std::string("a\nb\n"), dataOf("data: a\n\ndata: b\n\n"));
        CHECK_EQUAL(std::string("a\nb\n"), dataOf("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"));
        CHECK_EQUAL(std::string("a\nb\n"), dataOf("data: a\r\rdata: b\r\r"));
        CHECK_EQUAL(std::string("first\nsecond\n"), dataOf("data: first\ndata: second\n\n"));
        CHECK_EQUAL(std::string("  a \n"), dataOf("data:   a \n\n"));
        CHECK_EQUAL(std::string("a:b\n"), dataOf("data:a:b\n\n"));
        CHECK_EQUAL(std::string("\n\n"), dataOf("data\n\ndata:\n\n"));
    }

    void otherFieldsAndCommentsAreNoData()
    {
        CHECK_EQUAL(
            std::string("a\n"), dataOf(": comment\nevent: x\nid: 7\nretry: 5\ndatas: z\ndata: a\n\n"));
        CHECK_EQUAL(std::string(), dataOf("id: 1\n\n: nothing\n\n\n\n"));
        CHECK_EQUAL(std::string("a\n"),
            dataOf("\xef\xbb\xbf"
                   "data: a\n\n"));
    }

    void incompleteEventHasNoData()
    {
        CHECK_EQUAL(std::string("a\n"), dataOf("data: a\n\ndata: b\n"));
        CHECK_EQUAL(std::string("a\n"), dataOf("data: a\n\ndata: b"));
    }

    void textOfAChainIsInOrder()
    {
        TurnChain chain { makeTurn("1", {}, 2), makeTurn("2", { { "1" } }, 1) };
        CHECK_EQUAL(std::string("iiout of 1\niout of 2\n"), textOf(chain));
        CHECK(idsOf(chain) == (std::vector<AttemptId> { { "1" }, { "2" } }));
    }

    void chainWithAMissingAncestorIsNotFound()
    {
        ConversationCache cache;
        cache.maxBytes_ = 100000;
        storeTurn(cache, makeTurn("2", { { "1" } }), start);
        CHECK(findTurn(cache, { "2" }, start));
        CHECK(!findChain(cache, { "2" }, start));
        storeTurn(cache, makeTurn("1"), start);
        CHECK_EQUAL(std::size_t { 2 }, findChain(cache, { "2" }, start)->size());
        CHECK(!findChain(cache, { "3" }, start));
    }

    void cacheStaysWithinItsBytesAndEvictsTheLeastRecentlyUsed()
    {
        ConversationCache cache;
        cache.maxBytes_ = 10000;
        constexpr std::size_t bytes = 2000;
        for (const char* id : { "1", "2", "3" })
            storeTurn(cache, makeTurn(id, {}, bytes), start);
        CHECK(findTurn(cache, { "1" }, start));
        storeTurn(cache, makeTurn("4", {}, bytes), start);
        storeTurn(cache, makeTurn("5", {}, bytes), start);
        CHECK(cache.bytes_ <= cache.maxBytes_);
        CHECK(findTurn(cache, { "1" }, start));
        CHECK(!findTurn(cache, { "2" }, start));
        storeTurn(cache, makeTurn("huge", {}, 2 * cache.maxBytes_), start);
        CHECK(!findTurn(cache, { "huge" }, start));
        CHECK(findTurn(cache, { "5" }, start));
    }

    void unusedTurnsAreEvicted()
    {
        ConversationCache cache;
        cache.maxBytes_ = 10000;
        storeTurn(cache, makeTurn("old"), start);
        storeTurn(cache, makeTurn("new"), start);
        constexpr Milliseconds later { 500 };
        findTurn(cache, { "old" }, start + later);
        evictUnused(cache, start + Milliseconds { 1 });
        CHECK(findTurn(cache, { "old" }, start + later));
        CHECK(!findTurn(cache, { "new" }, start + later));
        evictUnused(cache, start + 2 * later);
        CHECK_EQUAL(std::size_t { 0 }, cache.bytes_);
        CHECK(cache.entries_.empty());
    }

    void vmForAKeyIsTheFirstUsableOneOfTheRanking()
    {
        PeerList list;
        list.own_ = { "vm-0" };
        constexpr int vms = 7;
        for (int i = 0; i < vms; ++i) {
            VmId vm { "vm-" + std::to_string(i) };
            list.peers_[vm] = { vm, { i % 2 == 0 ? "z1" : "z2" }, "address", {} };
        }
        for (const char* lost : { "", "vm-3", "vm-5", "vm-6" }) {
            if (*lost)
                recordPeerOutcome(list, { lost }, false, start);
            for (int key = 0; key < 50; ++key) {
                std::optional<VmId> expected;
                for (const PeerEntry& peer : rankedVms(list, {}, std::to_string(key))) {
                    if (peer.vm_ != list.own_ && !isUsable(list, peer.vm_, start))
                        continue;
                    if (peer.vm_ != list.own_)
                        expected = peer.vm_;
                    break;
                }
                auto found = firstVmFor(list, std::to_string(key), start);
                CHECK(expected.has_value() == found.has_value());
                CHECK(!found || found->vm_ == *expected);
            }
        }
    }
};

REGISTER_SUITE(ConversationTexts);
