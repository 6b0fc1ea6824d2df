// Conversations over several VMs while VMs, their links to the store, or the store itself fail.

#include "BootClock.h"
#include "ConversationStore.h"
#include "EventLoop.h"
#include "FreePort.h"
#include "PlatformStore.h"
#include "Suite.h"

#include <fmt/format.h>

using namespace fescue;
using namespace fescue::standin;

namespace {

constexpr Milliseconds retention { 60000 };
constexpr Milliseconds patience { 3000 };

} // namespace

class KeptConversations : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(KeptConversations);
    CPPUNIT_TEST(anyVmFindsTheChainInMemory);
    CPPUNIT_TEST(chainOutlivesAllVms);
    CPPUNIT_TEST(lostDirectoryCostsNoTurn);
    CPPUNIT_TEST(turnIsAbsentOnlyIfTheStoreSaysSo);
    CPPUNIT_TEST(vmWithoutTheStoreKeepsTurnsThroughPeers);
    CPPUNIT_TEST(vmWithoutTheStoreFindsTurnsThroughPeers);
    CPPUNIT_TEST(silentStoreAtOneVmDelaysItsTurnsLittle);
    CPPUNIT_TEST(nothingIsKeptWithoutTheStore);
    CPPUNIT_TEST(turnIsKeptOnceTheStoreIsBack);
    CPPUNIT_TEST(ancestorsAreRetainedAsLongAsTheLastTurn);
    CPPUNIT_TEST(cacheWithoutRoomCostsNoTurn);
    CPPUNIT_TEST(turnsOfAllVmsShareAppends);
    CPPUNIT_TEST_SUITE_END();

    // An entry VM without its HTTP front end, and with its own port of the store.
    struct Vm {
        VmId id_;
        std::uint16_t storePort_ = 0;
        StoreHealth health_;
        std::unique_ptr<platform::StoreClient> client_;
        std::unique_ptr<PacedStore> store_;
        std::unique_ptr<PeerExchange> exchange_;
        std::unique_ptr<ConversationStore> conversations_;
        PeerEntry entry_;
    };

    std::unique_ptr<asio::io_context> io_;
    std::unique_ptr<PlatformStore> store_;
    std::map<std::string, Vm> vms_;
    std::size_t cacheBytes_ = 0;
    int starts_ = 0;

    void runFor(Milliseconds time)
    {
        MonotonicTime end = bootNow() + time;
        runUntil([&] { return bootNow() >= end; });
    }

    template <typename Condition> void runUntil(const Condition& holds)
    {
        auto tick = [this] {
            store_->tick(bootNow());
            for (auto& [name, vm] : vms_) {
                vm.client_->tick(bootNow());
                vm.exchange_->tick(bootNow());
                vm.conversations_->tick(false, bootNow());
            }
        };
        fescue::test::runLoopUntil(*io_, tick, holds);
    }

    void startVm(const std::string& name, const std::string& zone)
    {
        Vm& vm = vms_[name];
        vm.id_ = { name };
        vm.storePort_ = store_->addView([](const std::string&, const std::string& value) { return value; });
        asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(), vm.storePort_);
        vm.client_ = std::make_unique<platform::StoreClient>(*io_, address);
        vm.store_ = std::make_unique<PacedStore>(*vm.client_, vm.health_, 1);
        std::string peerAddress = fmt::format("127.0.0.1:{}", fescue::test::findFreePort(*io_));
        vm.exchange_ = std::make_unique<PeerExchange>(*io_, vm.id_, peerAddress);
        WriterId writer { fmt::format("{}#{}", name, ++starts_) };
        constexpr std::size_t maxRecordBytes = 256 * 1024;
        vm.conversations_ = std::make_unique<ConversationStore>(*io_, *vm.store_, *vm.exchange_,
            ConversationOptions { vm.id_, { zone }, writer, 2, cacheBytes_, maxRecordBytes });
        vm.entry_ = { vm.id_, { zone }, peerAddress, writer };
        for (auto& [other, entry] : vms_) {
            for (auto& [another, peer] : vms_)
                entry.exchange_->peers().peers_[peer.id_] = peer.entry_;
        }
    }

    void startVms()
    {
        startVm("vm-a", "z1");
        startVm("vm-b", "z1");
        startVm("vm-c", "z2");
        startVm("vm-d", "z2");
    }

    // Ends a VM as a crash would; the others still have its entry.
    void killVm(const std::string& name)
    {
        Vm vm = std::move(vms_.at(name));
        vms_.erase(name);
        vm.conversations_.reset();
        vm.exchange_.reset();
    }

    StoreFaults& faultsOf(const std::string& name) { return store_->faultsAt(vms_.at(name).storePort_); }

    ChainReply find(const std::string& vm, const std::string& turn, const std::string& program = "program")
    {
        std::optional<ChainReply> found;
        vms_.at(vm).conversations_->find({ { turn }, { "request" }, { program }, bootNow() + patience },
            [&](const ChainReply& reply) { found = reply; });
        runUntil([&] { return found.has_value(); });
        return *found;
    }

    // Answers a turn at a VM that continues from another one, empty for none. Returns whether it was kept.
    bool answer(const std::string& vm, const std::string& id, const std::string& previous = "",
        Milliseconds turnRetention = retention, Milliseconds timeout = patience)
    {
        TurnChain chain;
        if (!previous.empty()) {
            ChainReply found = find(vm, previous);
            CHECK(found.status_ == ChainStatus::Found);
            chain = found.chain_;
        }
        auto turn = std::make_shared<KeptTurn>(
            KeptTurn { { id }, idsOf(chain), "in " + id + ";", "out " + id + "\n" });
        std::optional<bool> isKept;
        vms_.at(vm).conversations_->keep({ turn, chain, { "program" }, turnRetention, bootNow() + timeout },
            [&](bool kept) { isKept = kept; });
        runUntil([&] { return isKept.has_value(); });
        return *isKept;
    }

    static std::string textOfTurns(const std::vector<std::string>& ids)
    {
        std::string text;
        for (const std::string& id : ids)
            text += fmt::format("in {};out {}\n", id, id);
        return text;
    }

    void checkFound(const std::string& vm, const std::vector<std::string>& ids)
    {
        ChainReply found = find(vm, ids.back());
        CHECK(found.status_ == ChainStatus::Found);
        CHECK_EQUAL(textOfTurns(ids), textOf(found.chain_));
    }

public:
    void setUp() override
    {
        cacheBytes_ = 1024 * 1024;
        io_ = std::make_unique<asio::io_context>(1);
        store_ = std::make_unique<PlatformStore>(*io_);
        startVms();
    }

    void tearDown() override
    {
        vms_.clear();
        store_.reset();
        io_.reset();
    }

    void anyVmFindsTheChainInMemory()
    {
        CHECK(answer("vm-a", "1"));
        CHECK(answer("vm-b", "2", "1"));
        CHECK(answer("vm-c", "3", "2"));
        CHECK(answer("vm-d", "4", "3"));
        runFor(Milliseconds { 20 }); // The last copy has arrived.
        store_->faults().isDown_ = true;
        for (const char* vm : { "vm-a", "vm-b", "vm-c", "vm-d" })
            checkFound(vm, { "1", "2", "3", "4" });
    }

    void chainOutlivesAllVms()
    {
        CHECK(answer("vm-a", "1"));
        CHECK(answer("vm-c", "2", "1"));
        CHECK(answer("vm-c", "2b", "1"));
        for (const char* vm : { "vm-a", "vm-b", "vm-c", "vm-d" })
            killVm(vm);
        startVms();
        checkFound("vm-d", { "1", "2" });
        checkFound("vm-b", { "1", "2b" });
        CHECK_EQUAL(textOfTurns({ "1" }), textOf(find("vm-a", "1", "another program").chain_));
    }

    void lostDirectoryCostsNoTurn()
    {
        CHECK(answer("vm-a", "1"));
        CHECK(answer("vm-a", "2", "1"));
        PeerList list;
        list.own_ = { "vm-a" };
        for (const auto& [name, vm] : vms_)
            list.peers_[vm.id_] = vm.entry_;
        std::string directory = rankedVms(list, {}, "program").front().vm_.value_;
        std::string asker = directory == "vm-b" ? "vm-c" : "vm-b";
        killVm(directory);
        checkFound(asker, { "1", "2" });
        CHECK(answer(asker, "3", "2"));
        if (directory != "vm-a")
            checkFound("vm-a", { "1", "2", "3" });
    }

    void turnIsAbsentOnlyIfTheStoreSaysSo()
    {
        CHECK(answer("vm-a", "1"));
        CHECK(find("vm-d", "forged").status_ == ChainStatus::Absent);
        store_->faults().isDown_ = true;
        CHECK(find("vm-d", "forged").status_ == ChainStatus::Unknown);
        store_->faults() = { false, 503, true, 0 };
        CHECK(find("vm-b", "forged").status_ == ChainStatus::Unknown);
        store_->faults() = {};
        for (const char* vm : { "vm-a", "vm-b", "vm-c", "vm-d" }) {
            killVm(vm);
            startVm(vm, "z1");
            faultsOf(vm).isSilent_ = true;
        }
        CHECK(find("vm-a", "1").status_ == ChainStatus::Unknown);
    }

    // Each VM in turn, since some of them write the partitions.
    void vmWithoutTheStoreKeepsTurnsThroughPeers()
    {
        std::vector<std::string> kept;
        for (const char* vm : { "vm-a", "vm-b", "vm-c", "vm-d" }) {
            for (bool isSilent : { false, true }) {
                faultsOf(vm).isDown_ = !isSilent;
                faultsOf(vm).isSilent_ = isSilent;
                constexpr int turns = 4; // In both partitions.
                for (int i = 0; i < turns; ++i) {
                    kept.push_back(fmt::format("{}-{}-{}", vm, isSilent ? "silent" : "refused", i));
                    CHECK(answer(vm, kept.back()));
                }
                faultsOf(vm) = {};
                runFor(Milliseconds { 1700 }); // The VM probes the store at least this often.
            }
        }
        for (const char* vm : { "vm-a", "vm-b", "vm-c", "vm-d" })
            killVm(vm);
        startVms();
        for (const std::string& turn : kept)
            checkFound("vm-d", { turn });
    }

    void vmWithoutTheStoreFindsTurnsThroughPeers()
    {
        CHECK(answer("vm-a", "1"));
        CHECK(answer("vm-a", "2", "1"));
        for (const char* vm : { "vm-a", "vm-b", "vm-c", "vm-d" })
            killVm(vm);
        startVms();
        faultsOf("vm-b").isDown_ = true;
        checkFound("vm-b", { "1", "2" });
        CHECK(find("vm-b", "forged").status_ == ChainStatus::Absent);
    }

    void silentStoreAtOneVmDelaysItsTurnsLittle()
    {
        faultsOf("vm-a").isSilent_ = true;
        constexpr Milliseconds bound { 1000 }; // A quarter of the time that callers of such turns have.
        MonotonicTime start = bootNow();
        CHECK(answer("vm-a", "1"));
        CHECK(bootNow() < start + bound);
        start = bootNow();
        CHECK(answer("vm-a", "2", "1"));
        CHECK(bootNow() < start + bound);
    }

    void nothingIsKeptWithoutTheStore()
    {
        constexpr Milliseconds shortly { 700 };
        for (bool isSilent : { false, true }) {
            store_->faults().isDown_ = !isSilent;
            store_->faults().isSilent_ = isSilent;
            MonotonicTime start = bootNow();
            CHECK(!answer("vm-a", isSilent ? "1" : "2", "", retention, shortly));
            constexpr Milliseconds lateness { 100 };
            CHECK(bootNow() < start + shortly + lateness);
        }
        CHECK(vms_.at("vm-a").conversations_->isIdle());
    }

    void turnIsKeptOnceTheStoreIsBack()
    {
        store_->faults().isDown_ = true;
        std::optional<bool> isKept;
        auto turn = std::make_shared<KeptTurn>(KeptTurn { { "1" }, {}, "in 1;", "out 1\n" });
        vms_.at("vm-a").conversations_->keep(
            { turn, {}, { "program" }, retention, bootNow() + patience }, [&](bool kept) { isKept = kept; });
        runFor(Milliseconds { 900 });
        CHECK(!isKept);
        store_->faults().isDown_ = false;
        runUntil([&] { return isKept.has_value(); });
        CHECK(*isKept);
        checkFound("vm-d", { "1" });
    }

    // A record is deleted some time after the retention of its turn, which by then may be part of a longer
    // chain.
    void ancestorsAreRetainedAsLongAsTheLastTurn()
    {
        constexpr Milliseconds shortRetention { 1500 };
        CHECK(answer("vm-a", "1", "", shortRetention));
        std::vector<std::string> ids { "1" };
        for (const char* id : { "2", "3", "4", "5", "6" }) {
            runFor(shortRetention / 2);
            CHECK(answer("vm-a", id, ids.back(), shortRetention));
            ids.emplace_back(id);
            // Writes to all partitions, which delete what has expired there.
            for (int i = 0; i < 8; ++i)
                CHECK(answer("vm-a", fmt::format("other-{}-{}", id, i), "", shortRetention));
        }
        for (const char* vm : { "vm-a", "vm-b", "vm-c", "vm-d" })
            killVm(vm);
        startVms();
        checkFound("vm-d", ids);
    }

    // One VM writes the turns of all VMs in a partition; if each wrote its own, there would be some 160
    // appends.
    void turnsOfAllVmsShareAppends()
    {
        constexpr int rounds = 50;
        constexpr std::size_t maxAppends = 80;
        std::size_t kept = 0;
        for (int i = 0; i < rounds; ++i) {
            for (auto& [name, vm] : vms_) {
                auto turn
                    = std::make_shared<KeptTurn>(KeptTurn { { fmt::format("{}-{}", name, i) }, {}, "", "" });
                vm.conversations_->keep({ turn, {}, { name }, retention, bootNow() + patience },
                    [&](bool isKept) { kept += isKept ? 1 : 0; });
            }
            runFor(Milliseconds { 10 });
        }
        runUntil([&] { return kept == rounds * vms_.size(); });
        CHECK(store_->appends() <= maxAppends);
    }

    void cacheWithoutRoomCostsNoTurn()
    {
        for (const char* vm : { "vm-a", "vm-b", "vm-c", "vm-d" })
            killVm(vm);
        cacheBytes_ = 0;
        startVms();
        CHECK(answer("vm-a", "1"));
        CHECK(answer("vm-b", "2", "1"));
        checkFound("vm-c", { "1", "2" });
        CHECK_EQUAL(std::size_t { 0 }, vms_.at("vm-c").conversations_->cachedTurns());
    }
};

REGISTER_SUITE(KeptConversations);
