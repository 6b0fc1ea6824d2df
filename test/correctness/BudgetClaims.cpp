#include "BudgetEscrow.h"
#include "PeerList.h"
#include "PeerTurns.h"
#include "Suite.h"

using namespace fescue;

namespace {

constexpr MonotonicTime now { Milliseconds { 100000 } };
const ProgramId program { "p" };
constexpr Milliseconds retention { 60000 };

BudgetEscrow escrowOf(const std::string& writer)
{
    BudgetEscrow escrow;
    escrow.writer_ = { writer };
    return escrow;
}

std::vector<TurnDecision> decisionsIn(const EscrowEffects& effects)
{
    std::vector<TurnDecision> decisions;
    for (const EscrowEffect& effect : effects) {
        if (const auto* decided = std::get_if<DecideTurn>(&effect))
            decisions.push_back(decided->decision_);
    }
    return decisions;
}

const WriteClaim* writeIn(const EscrowEffects& effects)
{
    for (const EscrowEffect& effect : effects) {
        if (const auto* write = std::get_if<WriteClaim>(&effect))
            return write;
    }
    return nullptr;
}

ClaimRecord claimOf(const std::string& writer, std::int64_t claimed, std::int64_t spent)
{
    return { program, { writer }, { { claimed }, { spent }, 0 } };
}

} // namespace

class BudgetClaims : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BudgetClaims);
    CPPUNIT_TEST(onlyTheFirstTurnWaitsForItsClaim);
    CPPUNIT_TEST(claimIncludesHeadroomForAFewTurnsOnly);
    CPPUNIT_TEST(spentBudgetIsReportedWithoutAWrite);
    CPPUNIT_TEST(tokensHeldByAnotherVmAreNotReportedAsSpent);
    CPPUNIT_TEST(claimOfAnEarlierIncarnationCountsAsSpent);
    CPPUNIT_TEST(turnWaitsForARunningTurnThatMayReturnTokens);
    CPPUNIT_TEST(turnOfAPeerIsRefusedAsInUse);
    CPPUNIT_TEST(turnThatNeedsAWriteIsRefusedAtOnceWithoutTheStore);
    CPPUNIT_TEST(drainReturnsUnusedTokens);
    CPPUNIT_TEST(claimAboveTheRemainingBudgetIsLowered);
    CPPUNIT_TEST(malformedRecordsAreNotParsedAsClaims);
    CPPUNIT_TEST(peerMessagesRoundTrip);
    CPPUNIT_TEST(unresponsivePeerIsSkippedUntilItsBackoffEnds);
    CPPUNIT_TEST_SUITE_END();

    BudgetEscrow escrow_;
    std::uint64_t lastTurn_ = 0;

    EscrowEffects requestTurn(std::int64_t budget, std::int64_t maxTokens, bool canWait = true)
    {
        return onTurnRequested(
            escrow_, program, { budget }, retention, { { ++lastTurn_ }, { maxTokens }, canWait }, now);
    }

    EscrowEffects confirm(const EscrowEffects& effects, const std::vector<ClaimRecord>& others = {})
    {
        const WriteClaim* write = writeIn(effects);
        if (!write)
            CPPUNIT_FAIL("no claim is written");
        return onClaimWritten(escrow_, program, write->claim_, others, now);
    }

public:
    void setUp() override { escrow_ = escrowOf("vm-a#1"); }

    void onlyTheFirstTurnWaitsForItsClaim()
    {
        EscrowEffects first = requestTurn(4000, 500);
        CHECK(decisionsIn(first).empty());
        CHECK(decisionsIn(confirm(first)) == std::vector { TurnDecision::Granted });
        onTurnEnded(escrow_, program, { 500 }, { 200 }, now);
        CHECK(decisionsIn(requestTurn(4000, 500)) == std::vector { TurnDecision::Granted });
    }

    void claimIncludesHeadroomForAFewTurnsOnly()
    {
        EscrowEffects first = requestTurn(30000, 500);
        CHECK_EQUAL(std::int64_t { 2500 }, writeIn(first)->claim_.claimed_.value_);
    }

    void spentBudgetIsReportedWithoutAWrite()
    {
        confirm(requestTurn(1000, 500));
        onTurnEnded(escrow_, program, { 500 }, { 500 }, now);
        CHECK(decisionsIn(requestTurn(1000, 500)) == std::vector { TurnDecision::Granted });
        onTurnEnded(escrow_, program, { 500 }, { 400 }, now);
        EscrowEffects refused = requestTurn(1000, 500);
        CHECK(decisionsIn(refused) == std::vector { TurnDecision::BudgetSpent });
        CHECK(!writeIn(refused));
    }

    void tokensHeldByAnotherVmAreNotReportedAsSpent()
    {
        auto effects = confirm(requestTurn(1000, 500), { claimOf("vm-b#1", 800, 100) });
        CHECK(decisionsIn(effects) == std::vector { TurnDecision::HeldElsewhere });
        CHECK(escrow_.programs_.at(program).holders_.at(0) == WriterId { "vm-b#1" });
    }

    void claimOfAnEarlierIncarnationCountsAsSpent()
    {
        auto effects = confirm(requestTurn(1000, 500), { claimOf("vm-a#0", 800, 100) });
        CHECK(decisionsIn(effects) == std::vector { TurnDecision::BudgetSpent });
    }

    void turnWaitsForARunningTurnThatMayReturnTokens()
    {
        confirm(requestTurn(800, 500));
        EscrowEffects second = requestTurn(800, 500);
        if (writeIn(second))
            second = confirm(second);
        CHECK(decisionsIn(second).empty());
        auto ended = onTurnEnded(escrow_, program, { 500 }, { 100 }, now);
        if (writeIn(ended))
            ended = confirm(ended);
        CHECK(decisionsIn(ended) == std::vector { TurnDecision::Granted });
    }

    void turnOfAPeerIsRefusedAsInUse()
    {
        confirm(requestTurn(800, 500));
        EscrowEffects second = requestTurn(800, 500, false);
        if (writeIn(second))
            second = confirm(second);
        CHECK(decisionsIn(second) == std::vector { TurnDecision::InUse });
    }

    void turnThatNeedsAWriteIsRefusedAtOnceWithoutTheStore()
    {
        requestTurn(4000, 500);
        CHECK(decisionsIn(onStoreUnavailable(escrow_)) == std::vector { TurnDecision::Unavailable });
    }

    void drainReturnsUnusedTokens()
    {
        confirm(requestTurn(4000, 500));
        CHECK(!writeIn(tickEscrow(escrow_, true, now)));
        onTurnEnded(escrow_, program, { 500 }, { 200 }, now);
        CHECK(!writeIn(tickEscrow(escrow_, false, now)));
        auto effects = tickEscrow(escrow_, true, now);
        CHECK_EQUAL(std::int64_t { 200 }, writeIn(effects)->claim_.claimed_.value_);
    }

    void claimAboveTheRemainingBudgetIsLowered()
    {
        auto effects = confirm(requestTurn(1000, 200), { claimOf("vm-b#1", 700, 700) });
        CHECK(decisionsIn(effects) == std::vector { TurnDecision::Granted });
        CHECK_EQUAL(std::int64_t { 300 }, writeIn(effects)->claim_.claimed_.value_);
    }

    void malformedRecordsAreNotParsedAsClaims()
    {
        auto own = parseClaim("p|vm-a#1", claimValue({ { 5 }, { 2 }, 9 }));
        CHECK(own && own->program_ == program && own->claim_.spent_ == TokenCount { 2 });
        CHECK(!parseClaim("p", "[1,2,3]"));
        CHECK(!parseClaim("p|w", "[1,2]"));
        CHECK(!parseClaim("p|w", "[1,\"2\",3]"));
        CHECK(!parseClaim("p|w", "\xff"));
    }

    void peerMessagesRoundTrip()
    {
        TurnRequest request { program, { 4000 }, { 500 }, retention, false, Milliseconds { 900 } };
        auto asked = parseTurnRequest(encode(request));
        CHECK(asked && asked->budget_ == request.budget_ && !asked->canStartProgram_);
        TurnReply reply;
        reply.decision_ = TurnDecision::HeldElsewhere;
        reply.holders_ = { { "vm-b#1" } };
        reply.lastTarget_ = { "engine-1" };
        auto answered = parseTurnReply(encode(reply));
        CHECK(answered && answered->holders_ == reply.holders_ && answered->lastTarget_ == reply.lastTarget_);
        auto ended = parseTurnEnd(encode(TurnEnd { 7, { 9 }, { "engine-1" } }));
        CHECK(ended && ended->grant_ == 7 && ended->usedTokens_.value_ == 9
            && ended->target_.value_ == "engine-1");
        for (const char* bytes : { "\xBB"
                                   "aaaaaaaa",
                 "\x9B"
                 "aaaaaaaa" }) // Excessive lengths.
            CHECK(!parseTurnRequest(bytes) && !parseTurnReply(bytes) && !parseTurnEnd(bytes));
        CHECK(!parseTurnRequest("garbage") && !parseTurnReply("") && !parseTurnEnd(encode(reply)));
    }

    void unresponsivePeerIsSkippedUntilItsBackoffEnds()
    {
        PeerList list;
        list.own_ = { "vm-a" };
        for (const char* vm : { "vm-a", "vm-b", "vm-c" })
            list.peers_[{ vm }] = { { vm }, { "zone" }, "10.0.0.1:1", { std::string(vm) + "#1" } };
        for (int i = 0; i < 50; ++i) {
            ProgramId any { std::to_string(i) };
            VmId home = homeOf(list, { "zone" }, any, now)->vm_;
            if (home == list.own_)
                continue;
            recordPeerOutcome(list, home, false, now);
            CHECK(homeOf(list, { "zone" }, any, now)->vm_ != home);
            CHECK(!findPeerByWriter(list, list.peers_.at(home).writer_, now));
            CHECK(homeOf(list, { "zone" }, any, now + Milliseconds { 60000 })->vm_ == home);
            recordPeerOutcome(list, home, true, now);
            CHECK(homeOf(list, { "zone" }, any, now)->vm_ == home);
        }
        CHECK(!homeOf(list, { "other" }, program, now));
        list.isStoreReachable_ = false;
        for (int i = 0; i < 50; ++i)
            CHECK(homeOf(list, { "zone" }, { std::to_string(i) }, now)->vm_ != list.own_);
    }
};

REGISTER_SUITE(BudgetClaims);
