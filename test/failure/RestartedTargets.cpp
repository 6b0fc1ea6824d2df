// Guards against a target's next process, at the same address, being taken for the one that sent an answer
// without framing.

#include "ProcessTarget.h"
#include "Suite.h"

#include <csignal>
#include <thread>

using namespace fescue;
using namespace fescue::test;

namespace {

void sendStream(RawConnection& caller, const std::string& path)
{
    caller.send("POST " + path
        + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nFescuewinch-Request-Id: r1\r\n"
          "Fescuewinch-Deadline-Ms: 2800\r\nContent-Length: 6\r\n\r\nprompt");
}

// Reads until the third event, and leaves the connection open.
void beginStream(RawConnection& caller, const std::string& path)
{
    sendStream(caller, path);
    caller.readUntil("data: 3 of 8");
}

// Checks that a stream has no end that its caller takes for complete.
void checkIsBrokenOff(RawConnection& caller)
{
    std::string rest = caller.readAll();
    CHECK(rest.find("data: 8 of 8") == std::string::npos);
    CHECK(rest.rfind("0\r\n\r\n") == std::string::npos);
}

} // namespace

class RestartedTargets : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RestartedTargets);
    CPPUNIT_TEST(streamWithoutFramingIsBrokenOffThoughTheVmWasSuspendedMeanwhile);
    CPPUNIT_TEST(streamWithoutFramingIsBrokenOffThoughItsHeadIsReadAfterTheRestart);
    CPPUNIT_TEST_SUITE_END();

public:
    // When the VM goes on, all its connections to the target have ended, and new ones are accepted.
    void streamWithoutFramingIsBrokenOffThoughTheVmWasSuspendedMeanwhile()
    {
        EntryVmHarness vms({});
        ProcessTarget target(vms, "p0", { "--gap_ms=300" });
        RawConnection caller(vms.port());
        beginStream(caller, "/turn/none");
        vms.process().pause();
        target.restart();
        vms.process().signal(SIGCONT);
        checkIsBrokenOff(caller);
        CHECK(caller.wasReset());
    }

    // The VM reads the head, the first events and the end of the connection together.
    void streamWithoutFramingIsBrokenOffThoughItsHeadIsReadAfterTheRestart()
    {
        EntryVmHarness vms({});
        ProcessTarget target(vms, "p0", { "--gap_ms=300" });
        target.process().pause();
        RawConnection caller(vms.port());
        sendStream(caller, "/turn/none");
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        vms.process().pause();
        target.process().signal(SIGCONT);
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        target.restart();
        vms.process().signal(SIGCONT);
        checkIsBrokenOff(caller);
    }
};

REGISTER_SUITE(RestartedTargets);
