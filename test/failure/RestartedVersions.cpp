// Guards against a stream that goes on at the next software version of a target which has started again under
// its id, before the list of targets tells of it.

#include "ProcessTarget.h"
#include "Suite.h"

#include <csignal>
#include <fmt/format.h>

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

} // namespace

class RestartedVersions : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RestartedVersions);
    CPPUNIT_TEST(streamDoesNotGoOnAtTheNextVersionUnderTheSameId);
    CPPUNIT_TEST_SUITE_END();

public:
    // The VM has seen that the process which began the stream ended, and nothing yet of the next one.
    void streamDoesNotGoOnAtTheNextVersionUnderTheSameId()
    {
        EntryVmHarness vms({});
        ProcessTarget target(vms, "p0", { "--gap_ms=150", "--label=v1" });
        RawConnection caller(vms.port());
        beginStream(caller, "/turn/chunks");
        target.process().signalAndWait(SIGKILL);
        Process next(
            "standin-target", { fmt::format("--listen=127.0.0.1:{}", target.port()), "--label=v2" }, 1);
        caller.readAll();
        CHECK(caller.wasReset());
        std::string answer = vms.request("POST", "/turn/chunks",
            "Fescuewinch-Request-Id: r2\r\nFescuewinch-Deadline-Ms: 2800\r\nResumes: r1\r\nLast-Event-Id: "
            "3\r\n",
            "prompt");
        CHECK(answer.find(" v2") == std::string::npos);
    }
};

REGISTER_SUITE(RestartedVersions);
