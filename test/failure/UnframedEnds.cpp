// Guards against the end of an answer without framing being judged by connections that do not show whether
// its target's process ran on.

#include "ProcessTarget.h"
#include "Suite.h"

#include <csignal>
#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

namespace {

const std::string lastChunk = "\r\n0\r\n\r\n";

// A caller of a stream that is under way.
struct StreamCaller {
    RawConnection connection_;
    std::string received_;

    StreamCaller(const EntryVmHarness& vms, const std::string& path, const std::string& id)
        : connection_(vms.port())
    {
        connection_.send("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
            + "Fescuewinch-Request-Id: " + id + "\r\nFescuewinch-Deadline-Ms: 2800\r\n"
            + "Fescuewinch-Program-Id: " + id + "\r\nFescuewinch-Token-Budget: 90000\r\n"
            + "Fescuewinch-Token-Count: 100,900\r\nContent-Length: 6\r\n\r\nprompt");
    }

    void readUntil(const std::string& mark) { received_ += connection_.readUntil(mark); }
    void readToEnd() { received_ += connection_.readAll(); }
    bool isWhole() const
    {
        return received_.find("data: 8 of 8") != std::string::npos
            && received_.find(lastChunk) != std::string::npos;
    }
};

} // namespace

class UnframedEnds : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(UnframedEnds);
    CPPUNIT_TEST(streamOfATargetThatStartsAgainWhileTheVmIsPausedIsBrokenOff);
    CPPUNIT_TEST(wholeStreamsThatEndTogetherAreComplete);
    CPPUNIT_TEST(plainAnswerOfATargetThatStartsAgainWhileTheVmIsPausedIsNotComplete);
    CPPUNIT_TEST(endOfALeavingTargetIsNoCrashOfItsRequest);
    CPPUNIT_TEST(manyStreamsOfAKilledTargetAreBrokenOff);
    CPPUNIT_TEST(targetAtItsLimitServesWholeStreams);
    CPPUNIT_TEST_SUITE_END();

public:
    void streamOfATargetThatStartsAgainWhileTheVmIsPausedIsBrokenOff()
    {
        EntryVmHarness vms({});
        ProcessTarget target(vms, "p0", { "--gap_ms=150" });
        StreamCaller caller(vms, "/turn/none", "r1");
        caller.readUntil("data: 3 of 8");
        vms.process().pause();
        target.restart();
        vms.process().signal(SIGCONT);
        caller.readToEnd();
        CHECK(caller.received_.find("data: 8 of 8") == std::string::npos);
        CHECK(caller.received_.find(lastChunk) == std::string::npos);
    }

    // Each has the other's connection as its only sign that the process runs.
    void wholeStreamsThatEndTogetherAreComplete()
    {
        EntryVmHarness vms({});
        ProcessTarget target(vms, "p0", { "--gap_ms=40" });
        constexpr int rounds = 5;
        for (int i = 0; i < rounds; ++i) {
            StreamCaller first(vms, "/turn/none/a", fmt::format("a{}", i));
            first.readUntil("data: 1 of 8");
            StreamCaller second(vms, "/turn/none/b", fmt::format("b{}", i));
            first.readToEnd();
            second.readToEnd();
            CHECK(first.isWhole());
            CHECK(second.isWhole());
        }
    }

    void plainAnswerOfATargetThatStartsAgainWhileTheVmIsPausedIsNotComplete()
    {
        EntryVmHarness vms({});
        ProcessTarget target(vms, "p0", { "--gap_ms=400" });
        RawConnection caller(vms.port());
        caller.send("POST /call/none HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n" + requestHeaders
            + "Content-Length: 0\r\n\r\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        vms.process().pause();
        target.restart();
        vms.process().signal(SIGCONT);
        CHECK(statusOf(caller.readAll()) != 200);
    }

    // Three crashes would quarantine the content.
    void endOfALeavingTargetIsNoCrashOfItsRequest()
    {
        EntryVmHarness vms({});
        for (const char* name : { "p0", "p1", "p2" }) {
            ProcessTarget target(
                vms, name, { "--end_point=after-last-event", "--end_kind=exit", "--gap_ms=300" });
            StreamCaller caller(vms, "/turn/none", name);
            caller.readUntil("data: 2 of 8");
            target.announce({ "v1", true });
            caller.readToEnd();
            target.announce({ "v1", true, false });
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1000)); // Ended connections are judged by then.
        ProcessTarget target(vms, "p3");
        StreamCaller caller(vms, "/turn/none", "p3");
        caller.readToEnd();
        CHECK(caller.isWhole());
    }

    void manyStreamsOfAKilledTargetAreBrokenOff()
    {
        EntryVmHarness vms({});
        ProcessTarget target(vms, "p0", { "--gap_ms=200" });
        constexpr std::size_t streams = 10;
        std::vector<std::unique_ptr<StreamCaller>> callers;
        for (std::size_t i = 0; i < streams; ++i)
            callers.push_back(
                std::make_unique<StreamCaller>(vms, fmt::format("/turn/none/{}", i), fmt::format("m{}", i)));
        for (auto& caller : callers)
            caller->readUntil("data: 2 of 8");
        target.restart();
        for (auto& caller : callers) {
            caller->readToEnd();
            CHECK(caller->received_.find("data: 8 of 8") == std::string::npos);
            CHECK(caller->received_.find(lastChunk) == std::string::npos);
        }
    }

    void targetAtItsLimitServesWholeStreams()
    {
        EntryVmHarness vms({});
        ProcessTarget target(vms, "p0", { "--max_connections=2", "--gap_ms=10" });
        constexpr int rounds = 5;
        for (int i = 0; i < rounds; ++i) {
            StreamCaller caller(vms, "/turn/none", fmt::format("l{}", i));
            caller.readToEnd();
            CHECK(caller.isWhole());
        }
    }
};

REGISTER_SUITE(UnframedEnds);
