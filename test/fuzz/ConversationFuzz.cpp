// Properties of conversations against plain models, and of their messages.

#include "ConversationMessages.h"
#include "EventData.h"
#include "Fuzz.h"
#include "Suite.h"

#include <algorithm>

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr MonotonicTime now { Milliseconds { 5000 } };

std::string genBytes() { return *rc::gen::container<std::string>(rc::gen::arbitrary<char>()); }

TurnChain genChain()
{
    TurnChain chain;
    int turns = *rc::gen::inRange(1, 6);
    for (int i = 0; i < turns; ++i)
        chain.push_back({ std::make_shared<KeptTurn>(KeptTurn {
                              { "turn-" + std::to_string(i) }, idsOf(chain), genBytes(), genBytes() }),
            now + Milliseconds { *rc::gen::inRange(0, 100000) } });
    return chain;
}

bool areEqual(const TurnChain& a, const TurnChain& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const StoredTurn& x, const StoredTurn& y) {
        return *x.turn_ == *y.turn_ && x.keptUntil_ == y.keptUntil_;
    });
}

} // namespace

class ConversationFuzz : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConversationFuzz);
    CPPUNIT_TEST(messagesSurviveAnyBytesOfText);
    CPPUNIT_TEST(damagedMessagesAreRefusedOrValid);
    CPPUNIT_TEST(promptIsTheEarlierTextsWhateverTheTree);
    CPPUNIT_TEST(eventDataDoesNotDependOnTheSplitOfTheStream);
    CPPUNIT_TEST(cacheAgreesWithItsModel);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesSurviveAnyBytesOfText()
    {
        fuzz("round trip", [] {
            TurnChain chain = genChain();
            RC_ASSERT(*parseKeptTurn(encode(*chain.back().turn_)) == *chain.back().turn_);
            RC_ASSERT(areEqual(*parseTurns(encode(chain, now), now), chain));
            auto reply = parseChainReply(encode(ChainReply { ChainStatus::Found, chain }, now), now);
            RC_ASSERT(reply.has_value());
            RC_ASSERT(areEqual(reply->chain_, chain));
            KeepRequest request { chain, Milliseconds { 75000 }, Milliseconds { 600 } };
            auto keep = parseKeepRequest(encode(request, now), now);
            RC_ASSERT(keep.has_value());
            RC_ASSERT(areEqual(keep->turns_, chain));
            RC_ASSERT(keep->life_ == request.life_);
            RC_ASSERT(keep->timeLeft_ == request.timeLeft_);
            auto query = parseChainQuery(encode(ChainQuery { { genBytes() }, Milliseconds { 7 } }));
            RC_ASSERT(query.has_value());
            RC_ASSERT(query->storeTime_ == Milliseconds { 7 });
        });
    }

    void damagedMessagesAreRefusedOrValid()
    {
        fuzz("damage", [] {
            TurnChain chain = genChain();
            std::string bytes = *rc::gen::element(encode(*chain.back().turn_), encode(chain, now),
                encode(ChainReply { ChainStatus::Found, chain }, now),
                encode(KeepRequest { chain, Milliseconds { 1 }, Milliseconds { 1 } }, now));
            std::size_t at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            if (*rc::gen::arbitrary<bool>())
                bytes.resize(at);
            else
                bytes[at] = *rc::gen::arbitrary<char>();
            if (auto turn = parseKeptTurn(bytes))
                RC_ASSERT(*parseKeptTurn(encode(*turn)) == *turn);
            if (auto turns = parseTurns(bytes, now))
                RC_ASSERT(areEqual(*parseTurns(encode(*turns, now), now), *turns));
            if (auto reply = parseChainReply(bytes, now))
                RC_ASSERT((reply->status_ == ChainStatus::Found) == !reply->chain_.empty());
            if (auto keep = parseKeepRequest(bytes, now))
                RC_ASSERT(!keep->turns_.empty());
        });
    }

    void promptIsTheEarlierTextsWhateverTheTree()
    {
        fuzz("prompt", [] {
            ConversationCache cache;
            cache.maxBytes_ = 1 << 20;
            std::vector<KeptTurnPtr> turns;
            std::vector<std::string> prompts; // Of a turn that continues from the one with the same index.
            int count = *rc::gen::inRange(1, 20);
            for (int i = 0; i < count; ++i) {
                int parent = *rc::gen::inRange(-1, i);
                KeptTurn turn { { std::to_string(i) }, {}, genBytes(), genBytes() };
                std::string before;
                if (parent >= 0) {
                    auto chain = findChain(cache, { std::to_string(parent) }, now);
                    RC_ASSERT(chain.has_value());
                    before = prompts[static_cast<std::size_t>(parent)];
                    RC_ASSERT(textOf(*chain) == before);
                    turn.ancestors_ = idsOf(*chain);
                }
                prompts.push_back(before + turn.input_ + turn.output_);
                storeTurn(cache, { std::make_shared<KeptTurn>(turn), now }, now);
            }
        });
    }

    void eventDataDoesNotDependOnTheSplitOfTheStream()
    {
        fuzz("split", [] {
            auto stream = *rc::gen::container<std::string>(
                rc::gen::element('d', 'a', 't', ':', ' ', '\n', '\r', 'x'));
            std::size_t at = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
            EventData whole;
            whole.feed(stream);
            EventData split;
            split.feed(std::string_view(stream).substr(0, at));
            split.feed(std::string_view(stream).substr(at));
            RC_ASSERT(whole.text() == split.text());
        });
    }

    void cacheAgreesWithItsModel()
    {
        fuzz("cache", [] {
            ConversationCache cache;
            cache.maxBytes_ = 4000;
            std::map<std::string, std::string> model;
            int steps = *rc::gen::inRange(1, 40);
            MonotonicTime time = now;
            for (int i = 0; i < steps; ++i) {
                time += Milliseconds { *rc::gen::inRange(0, 50) };
                std::string id = std::to_string(*rc::gen::inRange(0, 12));
                if (*rc::gen::inRange(0, 3) == 0) {
                    evictUnused(cache, time - Milliseconds { 100 });
                    continue;
                }
                auto known = model.emplace(id, genBytes()).first;
                storeTurn(cache,
                    { std::make_shared<KeptTurn>(KeptTurn { { id }, {}, known->second, {} }), time }, time);
                RC_ASSERT(cache.bytes_ <= cache.maxBytes_);
                RC_ASSERT(cache.entries_.size() == cache.leastRecentFirst_.size());
                for (const auto& [key, text] : model) {
                    const StoredTurn* found = findTurn(cache, { key }, time);
                    bool isSame = !found || found->turn_->input_ == text;
                    RC_ASSERT(isSame);
                }
                RC_ASSERT(findTurn(cache, { id }, time));
            }
        });
    }
};

REGISTER_SUITE(ConversationFuzz);
