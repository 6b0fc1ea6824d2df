// A request for a shard that is moving to another VM is answered, also while the log is down.

#include "History.h"
#include "LogClient.h"
#include "ProgramLifecycle.h"
#include "ShardManager.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::test;
using nlohmann::json;

class HandOver : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HandOver);
    CPPUNIT_TEST(unflushedRecordDoesNotBlockRelease);
    CPPUNIT_TEST(shardIsNotReleasedWhileTheLogIsDown);
    CPPUNIT_TEST(callForAShardThatCannotMoveIsAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void unflushedRecordDoesNotBlockRelease();
    void shardIsNotReleasedWhileTheLogIsDown();
    void callForAShardThatCannotMoveIsAnswered();
};

REGISTER_SUITE(HandOver);

namespace {

// The shard manager of one VM that owns one shard with a program. The test drives its ticks.
struct SingleVm {
    Process log_ { "standin-log", { "--ports=1" }, 1 };
    HttpClient faultClient_;
    std::unique_ptr<HttpClient> client_ = std::make_unique<HttpClient>();
    ShardKey shard_ { { "zone-a" }, { 5 } };
    std::atomic<bool> isCreated_ { false };
    ShardManager manager_;

    SingleVm()
        : manager_(options(), *client_, [this](const ShardKey&, const Effect& effect) {
            isCreated_ = isCreated_ || std::holds_alternative<ReplyProgram>(effect);
        })
    {
        CreateProgram create { { 1 }, { "zone-a.5.1.1" }, { "lease" }, {}, { 200000 } };
        manager_.submit(
            shard_, create.request_,
            [create](
                Shard& shard, const ShardContext& context) { return createProgram(shard, create, context); },
            nullptr);
        waitUntil("the program is created", [this] { return isCreated_.load(); });
    }

    ~SingleVm() { client_.reset(); }

    std::string url() const { return "http://127.0.0.1:" + std::to_string(log_.port("http")); }

    ShardManagerOptions options() const
    {
        ShardManagerOptions options;
        options.vm_ = { "vm" };
        options.writer_ = { "vm#1" };
        options.log_.url_ = url();
        options.flushInterval_ = std::chrono::hours(1);
        return options;
    }

    void setLogDown(bool isDown)
    {
        faultClient_.perform({ "POST", url() + "/faults", {}, json { { "down", isDown } }.dump() });
    }

    ShardManager::ReleaseState tickAndRelease()
    {
        manager_.tick();
        return manager_.release(shard_);
    }
};

bool hasSnapshot(Cluster& cluster, const std::string& program)
{
    std::string stream = streamOf(*shardOf({ program }));
    return cluster.get(*cluster.log_, "/streams/" + stream + "?from=1").dump().find("snapshot")
        != std::string::npos;
}

bool isAllConfirmed(Cluster& cluster, const std::vector<std::string>& programs)
{
    json shards = cluster.get(*cluster.entries_.front().scheduler_, "/status")["shards"];
    return std::all_of(
               shards.begin(), shards.end(), [](const json& shard) { return shard["unconfirmed"] == 0; })
        && std::all_of(programs.begin(), programs.end(),
            [&](const std::string& program) { return hasSnapshot(cluster, program); });
}

bool isReachable(Cluster& cluster, const std::string& vm)
{
    json members = cluster.get(*cluster.entries_.front().scheduler_, "/status")["members"];
    return std::any_of(members.begin(), members.end(),
        [&vm](const json& member) { return member["vm"] == vm && member["reachable"] == true; });
}

} // namespace

// The first tick after a claim enqueues a snapshot that no request waits for. The long flush interval alone
// would keep it in the outbox.
void HandOver::unflushedRecordDoesNotBlockRelease()
{
    SingleVm vm;
    CHECK(vm.manager_.release(vm.shard_) == ShardManager::ReleaseState::Releasing);
    waitUntil(
        "the shard is released", [&] { return vm.tickAndRelease() == ShardManager::ReleaseState::NotOwned; });
}

// The owner cannot return the program's unspent budget without the log, so it keeps serving the shard.
void HandOver::shardIsNotReleasedWhileTheLogIsDown()
{
    SingleVm vm;
    vm.setLogDown(true);
    CHECK(vm.manager_.release(vm.shard_) == ShardManager::ReleaseState::Releasing);
    waitUntil(
        "the owner keeps the shard", [&] { return vm.tickAndRelease() == ShardManager::ReleaseState::Busy; });
    vm.setLogDown(false);
    waitUntil(
        "the shard is released", [&] { return vm.tickAndRelease() == ShardManager::ReleaseState::NotOwned; });
}

// Some programs should move to the new VM, but their owner cannot release their shards without the log.
void HandOver::callForAShardThatCannotMoveIsAnswered()
{
    Cluster cluster;
    constexpr std::size_t programCount = 6;
    std::vector<std::string> programs;
    programs.reserve(programCount);
    for (std::size_t i = 0; i < programCount; ++i)
        programs.push_back(cluster.createProgram(0));
    waitUntil("all records are confirmed", [&] { return isAllConfirmed(cluster, programs); });
    cluster.setFaults(*cluster.log_, { { "down", true } });
    cluster.startVm("zone-a-vm1", "zone-a");
    waitUntil("the new VM is ready", [&] { return cluster.call(1, "GET", "/readyz").status() == 200; });
    waitUntil("the owner knows the new VM", [&] { return isReachable(cluster, "zone-a-vm1"); });
    for (const std::string& program : programs) {
        int status = cluster.modelCall(0, program, 1, conversation({ "hello" })).status();
        CHECK(status == 200 || status == 503);
    }
}
