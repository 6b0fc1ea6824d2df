// Guards against copies of stream origins that wait for a peer without end: each keeps a connection, and its
// streams have one copy fewer.

#include "StreamVersionSetup.h"

#include <csignal>
#include <filesystem>

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr int streamCount = 60;
// Copies are sent every 40 ms, so each stream has a message of its own.
constexpr Milliseconds betweenStreams { 45 };
// Connections that calls under way may have at any time; one for each stream would be sixty.
constexpr std::ptrdiff_t maxMoreDescriptors { 20 };

// Streams can be taken up again for twice the timeout of their route. Targets that have broken three streams
// off are avoided until their next heartbeat, so the streams take up to 9 s to begin.
constexpr const char* configWithLongRetention = R"({"version":6,"routes":[
{"name":"turns","host":"h.example","path-prefix":"/turn/","type":"streaming","timeout-ms":10000,"service":"llm",
 "max-attempts":1,"retained":false,"retention-s":60.0,"resumable":true,"priority":1}],
"services":[{"name":"llm","engine":{"slots":12,"tokens-per-event":100}}],
"limits":{"max-header-bytes":8192,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
constexpr Milliseconds untilApplied { 400 };

std::ptrdiff_t openDescriptors(const StreamVersionSetup& setup, std::size_t vm)
{
    std::filesystem::directory_iterator all("/proc/" + std::to_string(setup.vms_.processId(vm)) + "/fd");
    return std::distance(begin(all), end(all));
}

} // namespace

class StalledCopies : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StalledCopies);
    CPPUNIT_TEST(copiesToAPausedVmDoNotPileUp);
    CPPUNIT_TEST_SUITE_END();

public:
    void copiesToAPausedVmDoNotPileUp()
    {
        StreamVersionSetup setup(3);
        setup.hasPrograms_ = false; // Their home may be the paused VM.
        setup.vms_.runOnStore(
            [](standin::PlatformStore& store) { store.put("keyed.op", "config", configWithLongRetention); });
        std::this_thread::sleep_for(untilApplied);
        setup.begin(0);
        std::ptrdiff_t before = openDescriptors(setup, 0);
        setup.vms_.process(1).pause();
        std::vector<std::string> begun;
        for (int i = 0; i < streamCount; ++i) {
            begun.push_back(setup.begin(0));
            std::this_thread::sleep_for(betweenStreams);
        }
        std::ptrdiff_t after = openDescriptors(setup, 0);
        setup.vms_.process(1).signal(SIGCONT);
        CHECK(after <= before + maxMoreDescriptors);
        setup.letOneOfEachVersionLeave();
        setup.vms_.process(0).signalAndWait(SIGKILL);
        for (const std::string& first : begun) {
            CHECK_EQUAL(200, statusOf(setup.resume(2, first)));
            CHECK(setup.hasOneVersion(first));
        }
    }
};

REGISTER_SUITE(StalledCopies);
