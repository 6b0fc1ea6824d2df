// Guards against a stream of a route over several services that goes on at another service than the one that
// began it.

#include "StreamVersionSetup.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr int streamCount = 16;
// The VMs know then what was in force while streams could begin that may still be taken up.
constexpr std::chrono::milliseconds untilCovered { 11500 };
constexpr std::chrono::milliseconds untilApplied { 400 };

// A configuration whose streams are divided among two services.
std::string splitConfig(int version, double weightOfLlm, double weightOfApp)
{
    return fmt::format(R"({{"version":{},"routes":[
{{"name":"split","host":"h.example","path-prefix":"/split/","type":"streaming","timeout-ms":3000,
 "backends":[{{"service":"llm","weight":{}}},{{"service":"app","weight":{}}}],
 "max-attempts":1,"retained":false,"retention-s":60.0,"resumable":true,"priority":1}}],
"services":[{{"name":"llm","engine":{{"slots":12,"tokens-per-event":100}}}},{{"name":"app"}}],
"limits":{{"max-header-bytes":8192,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}})",
        version, weightOfLlm, weightOfApp);
}

// VMs with a route over two services of one version each.
struct SplitSetup : StreamVersionSetup {
    int configVersion_ = 5;

    explicit SplitSetup(std::size_t vms, bool hasPrograms, double weightOfLlm = 1, double weightOfApp = 1)
        : StreamVersionSetup(vms, false)
    {
        path_ = "/split/1";
        hasPrograms_ = hasPrograms;
        publish(weightOfLlm, weightOfApp);
        std::this_thread::sleep_for(untilCovered);
    }

    void publish(double weightOfLlm, double weightOfApp)
    {
        std::string config = splitConfig(++configVersion_, weightOfLlm, weightOfApp);
        vms_.runOnStore(
            [&config](standin::PlatformStore& store) { store.put("keyed.op", "config", config); });
        std::this_thread::sleep_for(untilApplied);
    }

    std::vector<std::string> beginMany(int count = streamCount)
    {
        std::vector<std::string> begun;
        begun.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            begun.push_back(begin(0));
        return begun;
    }

    // Resumes each stream at one VM. Returns how many went on.
    int resumeAll(const std::vector<std::string>& begun, std::size_t vm)
    {
        int resumed = 0;
        for (const std::string& first : begun)
            resumed += statusOf(resume(vm, first)) == 200 ? 1 : 0;
        return resumed;
    }

    int joined(const std::vector<std::string>& begun) const
    {
        return static_cast<int>(std::count_if(begun.begin(), begun.end(),
            [this](const std::string& first) { return streams_.servicesOf(first).size() > 1; }));
    }

    int begunAt(const std::vector<std::string>& begun, const std::string& service) const
    {
        return static_cast<int>(
            std::count_if(begun.begin(), begun.end(), [this, &service](const std::string& first) {
                return streams_.servicesOf(first).count(service) > 0;
            }));
    }

    // Without streams of both services a test would show nothing.
    void checkBothServicesBegan(const std::vector<std::string>& begun) const
    {
        CHECK(begunAt(begun, "llm") > 0);
        CHECK(begunAt(begun, "app") > 0);
    }
};

} // namespace

class SplitRoutes : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SplitRoutes);
    CPPUNIT_TEST(streamGoesOnAtItsService);
    CPPUNIT_TEST(streamOfAProgramGoesOnAtItsService);
    CPPUNIT_TEST(streamOfAKilledVmGoesOnAtItsService);
    CPPUNIT_TEST(streamKeepsItsServiceWhenWeightsChange);
    CPPUNIT_TEST(streamOfAProgramKeepsItsServiceWhenWeightsChange);
    CPPUNIT_TEST(streamOfAKilledVmKeepsItsServiceWhenWeightsChange);
    CPPUNIT_TEST(streamIsNotJoinedWhenItsRouteMovesToAnotherService);
    CPPUNIT_TEST(streamIsNotJoinedAtAVmThatHasNotReadOfNewWeights);
    CPPUNIT_TEST(streamKeepsItsServiceAtAVmThatHasNotReadOfNewWeights);
    CPPUNIT_TEST(streamIsNotJoinedWhenWeightsChangeAndAllVmsAreLost);
    CPPUNIT_TEST(streamThatWasRelayedGoesOnAtItsService);
    CPPUNIT_TEST(streamThatNamesNoFirstAttemptIsNotJoined);
    CPPUNIT_TEST(streamOfAnotherVmGoesOnAtAVmThatHasJustStarted);
    CPPUNIT_TEST(streamOfARouteWithOneServiceGoesOnWithoutPeers);
    CPPUNIT_TEST_SUITE_END();

    static void checkGoesOn(bool hasPrograms)
    {
        SplitSetup setup(2, hasPrograms);
        for (std::size_t vm : { 0, 1 }) {
            std::vector<std::string> begun = setup.beginMany();
            setup.checkBothServicesBegan(begun);
            CHECK_EQUAL(streamCount, setup.resumeAll(begun, vm));
            CHECK_EQUAL(0, setup.joined(begun));
        }
    }

    static void checkKeepsService(bool hasPrograms)
    {
        SplitSetup setup(3, hasPrograms);
        std::vector<std::string> begun = setup.beginMany();
        setup.checkBothServicesBegan(begun);
        setup.publish(1, 9);
        CHECK_EQUAL(streamCount, setup.resumeAll(begun, 1));
        CHECK_EQUAL(0, setup.joined(begun));
        setup.publish(9, 1);
        CHECK_EQUAL(streamCount, setup.resumeAll(begun, 2));
        CHECK_EQUAL(0, setup.joined(begun));
    }

public:
    void streamGoesOnAtItsService() { checkGoesOn(false); }

    void streamOfAProgramGoesOnAtItsService() { checkGoesOn(true); }

    void streamOfAKilledVmGoesOnAtItsService()
    {
        SplitSetup setup(3, false);
        std::vector<std::string> begun = setup.beginMany();
        setup.checkBothServicesBegan(begun);
        setup.vms_.process(0).signalAndWait(SIGKILL);
        CHECK_EQUAL(streamCount, setup.resumeAll(begun, 1));
        CHECK_EQUAL(0, setup.joined(begun));
    }

    void streamKeepsItsServiceWhenWeightsChange() { checkKeepsService(false); }

    void streamOfAProgramKeepsItsServiceWhenWeightsChange() { checkKeepsService(true); }

    void streamOfAKilledVmKeepsItsServiceWhenWeightsChange()
    {
        SplitSetup setup(3, true);
        std::vector<std::string> begun = setup.beginMany();
        setup.checkBothServicesBegan(begun);
        setup.publish(1, 9);
        setup.vms_.process(0).signalAndWait(SIGKILL);
        CHECK_EQUAL(streamCount, setup.resumeAll(begun, 1));
        CHECK_EQUAL(0, setup.joined(begun));
    }

    // What the first service began can go on nowhere then, the rest can.
    void streamIsNotJoinedWhenItsRouteMovesToAnotherService()
    {
        SplitSetup setup(2, true);
        std::vector<std::string> begun = setup.beginMany();
        setup.checkBothServicesBegan(begun);
        setup.publish(0, 1);
        int ofApp = setup.begunAt(begun, "app");
        for (std::size_t vm : { 1, 0 })
            CHECK_EQUAL(ofApp, setup.resumeAll(begun, vm));
        CHECK_EQUAL(0, setup.joined(begun));
    }

    // The answer to its long poll is late, though all other reads are answered.
    void streamKeepsItsServiceAtAVmThatHasNotReadOfNewWeights()
    {
        constexpr std::chrono::milliseconds untilPollEnds { 2300 };
        SplitSetup setup(2, true, 1, 0);
        setup.vms_.setStoreHoldsLongPolls(1, true);
        std::this_thread::sleep_for(untilPollEnds);
        setup.publish(0, 1);
        std::vector<std::string> begun = setup.beginMany(4);
        CHECK_EQUAL(4, setup.begunAt(begun, "app"));
        CHECK_EQUAL(4, setup.resumeAll(begun, 1));
        CHECK_EQUAL(0, setup.joined(begun));
        setup.vms_.setStoreHoldsLongPolls(1, false);
    }

    // The store refuses such a VM, so it goes on with the weights that it has.
    void streamIsNotJoinedAtAVmThatHasNotReadOfNewWeights()
    {
        SplitSetup setup(2, true, 1, 0);
        setup.vms_.setStoreRefuses(1, true);
        setup.publish(0, 1);
        std::vector<std::string> begun = setup.beginMany(4);
        CHECK_EQUAL(4, setup.begunAt(begun, "app"));
        setup.resumeAll(begun, 1);
        CHECK_EQUAL(0, setup.joined(begun));
    }

    void streamIsNotJoinedWhenWeightsChangeAndAllVmsAreLost()
    {
        constexpr int rounds = 4;
        SplitSetup setup(2, true);
        std::vector<std::string> begun = setup.beginMany();
        setup.checkBothServicesBegan(begun);
        for (std::size_t vm : { 0, 1 })
            setup.vms_.process(vm).signalAndWait(SIGKILL);
        setup.publish(1, 9);
        for (std::size_t vm : { 0, 1 })
            setup.vms_.restartVm(vm);
        for (int round = 0; round < rounds; ++round) {
            setup.resumeAll(begun, static_cast<std::size_t>(round % 2));
            std::this_thread::sleep_for(untilApplied);
        }
        CHECK_EQUAL(0, setup.joined(begun));
    }

    // The VM that began it did so through another one, since it cannot reach targets.
    void streamThatWasRelayedGoesOnAtItsService()
    {
        SplitSetup setup(3, true);
        setup.vms_.setLinks(0, EntryVmHarness::LinkFault::Refused);
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        std::vector<std::string> begun = setup.beginMany();
        setup.checkBothServicesBegan(begun);
        setup.publish(1, 9);
        CHECK_EQUAL(streamCount, setup.resumeAll(begun, 2));
        CHECK_EQUAL(0, setup.joined(begun));
        CHECK_EQUAL(streamCount, setup.resumeAll(begun, 0));
        CHECK_EQUAL(0, setup.joined(begun));
    }

    // Any of the services may have begun it.
    void streamThatNamesNoFirstAttemptIsNotJoined()
    {
        SplitSetup setup(1, false);
        for (int i = 0; i < 8; ++i)
            CHECK_EQUAL(503,
                statusOf(setup.send(0, "first", "unnamed-" + std::to_string(i), "Last-Event-Id: 1\r\n")));
    }

    void streamOfAnotherVmGoesOnAtAVmThatHasJustStarted()
    {
        SplitSetup setup(2, false);
        std::vector<std::string> begun = setup.beginMany();
        setup.checkBothServicesBegan(begun);
        setup.vms_.restartVm(1);
        CHECK_EQUAL(streamCount, setup.resumeAll(begun, 1));
        CHECK_EQUAL(0, setup.joined(begun));
    }

    void streamOfARouteWithOneServiceGoesOnWithoutPeers()
    {
        SplitSetup setup(1, false, 1, 0);
        CHECK_EQUAL(200, statusOf(setup.resume(0, "of-a-vm-that-has-ended")));
        CHECK_EQUAL(200, statusOf(setup.send(0, "first", "without-first-attempt", "Last-Event-Id: 1\r\n")));
    }
};

REGISTER_SUITE(SplitRoutes);
