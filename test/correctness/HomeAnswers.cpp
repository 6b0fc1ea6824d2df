// Requests of a VM to a program's home, while the store is faulty or the home starts again.

#include "BootClock.h"
#include "EventLoop.h"
#include "FreePort.h"
#include "PlatformStore.h"
#include "StoreClient.h"
#include "Suite.h"
#include "TurnBroker.h"

#include <fmt/format.h>

using namespace fescue;
using namespace fescue::standin;

namespace {

constexpr Milliseconds retention { 60000 };

constexpr TokenCount maxTokens { 500 };

TurnRequest makeRequest(const std::string& program, TokenCount budget = { 4000 })
{
    TurnRequest request { { program }, budget, maxTokens, retention };
    request.timeLeft_ = Milliseconds { 5000 };
    return request;
}

} // namespace

class HomeAnswers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HomeAnswers);
    CPPUNIT_TEST(turnWaitsForAHomeThatIsWaitingForTheStore);
    CPPUNIT_TEST(homeReportsTheTargetOfTheLastTurn);
    CPPUNIT_TEST(endOfATurnThatTheHomeGrantedBeforeARestartReleasesNoOtherTurn);
    CPPUNIT_TEST_SUITE_END();

    // An entry VM without its HTTP front end.
    struct Vm {
        VmId id_;
        StoreHealth health_;
        std::unique_ptr<platform::StoreClient> store_;
        std::unique_ptr<PacedStore> pacedStore_;
        std::unique_ptr<PeerExchange> exchange_;
        std::unique_ptr<TurnBroker> broker_;
    };

    std::unique_ptr<asio::io_context> io_;
    std::unique_ptr<PlatformStore> store_;
    std::map<VmId, Vm> vms_;
    std::map<VmId, PeerEntry> peers_;

    template <typename Condition> void runUntil(const Condition& holds)
    {
        auto tick = [this] {
            store_->tick(bootNow());
            for (auto& [id, vm] : vms_) {
                vm.store_->tick(bootNow());
                vm.exchange_->tick(bootNow());
                vm.broker_->tick(false, bootNow());
            }
        };
        fescue::test::runLoopUntil(*io_, tick, holds);
    }

    void addVm(const std::string& name, const std::string& incarnation = "1")
    {
        Vm& vm = vms_[{ name }];
        vm.id_ = { name };
        asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(), store_->port());
        vm.store_ = std::make_unique<platform::StoreClient>(*io_, address);
        vm.pacedStore_ = std::make_unique<PacedStore>(*vm.store_, vm.health_, 1);
        TurnBrokerOptions options { { name }, { "z" }, { name + writerIdSeparator + incarnation }, 1 };
        std::string peerAddress = fmt::format("127.0.0.1:{}", fescue::test::findFreePort(*io_));
        vm.exchange_ = std::make_unique<PeerExchange>(*io_, vm.id_, peerAddress);
        vm.broker_ = std::make_unique<TurnBroker>(*vm.exchange_, *vm.pacedStore_, options);
        peers_[vm.id_] = { vm.id_, { "z" }, peerAddress, options.writer_ };
    }

    // Returns a program with the given home.
    std::string programWithHome(const VmId& home, const std::string& prefix = "program-") const
    {
        PeerList list;
        list.own_ = home;
        list.peers_ = peers_;
        for (int i = 0;; ++i) {
            ProgramId program { prefix + std::to_string(i) };
            if (homeOf(list, { "z" }, program, bootNow())->vm_ == home)
                return program.value_;
        }
    }

    void introduceVms()
    {
        for (auto& [id, vm] : vms_)
            vm.exchange_->peers().peers_ = peers_;
    }

    TurnGrant requestThroughOtherVm(const std::string& program) { return request(makeRequest(program)); }

    TurnGrant request(const TurnRequest& turn)
    {
        std::optional<TurnGrant> grant;
        vms_.at({ "vm-b" }).broker_->requestTurn(turn, [&](const TurnGrant& granted) { grant = granted; });
        runUntil([&] { return grant.has_value(); });
        return *grant;
    }

public:
    void setUp() override
    {
        io_ = std::make_unique<asio::io_context>(1);
        store_ = std::make_unique<PlatformStore>(*io_);
        addVm("vm-a");
        addVm("vm-b");
        introduceVms();
    }

    void tearDown() override
    {
        vms_.clear();
        peers_.clear();
        store_.reset();
        io_.reset();
    }

    // Guards against a VM that decides itself when the home is slow: each such VM would claim a part of the
    // budget.
    void turnWaitsForAHomeThatIsWaitingForTheStore()
    {
        std::string program = programWithHome({ "vm-a" });
        store_->faults().answersToDrop_ = 1;
        TurnGrant grant = requestThroughOtherVm(program);
        CHECK(grant.reply_.decision_ == TurnDecision::Granted);
        CHECK(grant.granter_ == VmId { "vm-a" });
        auto claims = store_->newestOfAll("keyed.budget-");
        CHECK_EQUAL(std::size_t { 1 }, claims.size());
        CHECK_EQUAL(claimKey({ program }, { "vm-a#1" }), claims.begin()->first);
    }

    void homeReportsTheTargetOfTheLastTurn()
    {
        std::string program = programWithHome({ "vm-a" });
        TurnGrant first = requestThroughOtherVm(program);
        CHECK(first.reply_.lastTarget_.empty());
        vms_.at({ "vm-b" }).broker_->endTurn(first, { 100 }, { "engine-7" });
        TargetId last;
        for (int i = 0; i < 20 && last.empty(); ++i)
            last = requestThroughOtherVm(program).reply_.lastTarget_;
        CHECK(last == TargetId { "engine-7" });
    }

    // Otherwise the released tokens are spent by one more turn, beyond the budget.
    void endOfATurnThatTheHomeGrantedBeforeARestartReleasesNoOtherTurn()
    {
        constexpr TokenCount twoTurns { 2 * maxTokens.value_ };
        TurnGrant beforeRestart = requestThroughOtherVm(programWithHome({ "vm-a" }));
        vms_.erase({ "vm-a" });
        addVm("vm-a", "2");
        introduceVms();
        TurnRequest turn = makeRequest(programWithHome({ "vm-a" }, "other-"), twoTurns);
        for (int i = 0; i < 2; ++i)
            CHECK(request(turn).reply_.decision_ == TurnDecision::Granted);
        vms_.at({ "vm-b" }).broker_->endTurn(beforeRestart, { 0 }, {});
        turn.timeLeft_ = Milliseconds { 600 };
        CHECK(request(turn).reply_.decision_ != TurnDecision::Granted);
    }
};

REGISTER_SUITE(HomeAnswers);
