// Guards against an answer that its caller takes for complete although its target's process has ended in the
// middle of it: such a process closes its connections in order.

#include "ProcessTarget.h"
#include "Suite.h"

#include <csignal>

using namespace fescue;
using namespace fescue::test;

namespace {

const std::string turnHeaders
    = "Fescuewinch-Request-Id: r1\r\nFescuewinch-Deadline-Ms: 2800\r\nFescuewinch-Program-Id: p1\r\n"
      "Fescuewinch-Token-Budget: 90000\r\nFescuewinch-Token-Count: 100,900\r\n";
const std::string lastChunk = "\r\n0\r\n\r\n";
// Long enough that the target ends between two events, and not while it sends one.
const std::vector<std::string> slowEvents { "--gap_ms=300" };

bool isFramedAsComplete(const std::string& answer)
{
    return answer.find(lastChunk) != std::string::npos || answer.find("Content-Length") != std::string::npos;
}

// A caller of a stream that is under way.
struct StreamCaller {
    RawConnection connection_;
    std::string received_;

    StreamCaller(const EntryVmHarness& vms, const std::string& path, std::size_t vm = 0)
        : connection_(vms.port(vm))
    {
        connection_.send("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
            + turnHeaders + "Content-Length: 6\r\n\r\nprompt");
    }

    void readUntil(const std::string& mark) { received_ += connection_.readUntil(mark); }
    void readToEnd() { received_ += connection_.readAll(); }
};

// Ends the target by a signal after the third event of a stream, and checks that the caller sees that it was
// broken off.
void checkStreamIsBrokenOff(
    EntryVmHarness& vms, ProcessTarget& target, const std::string& path, int signal = SIGKILL)
{
    StreamCaller caller(vms, path);
    caller.readUntil("data: 3 of 8");
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    target.process().signalAndWait(signal);
    caller.readToEnd();
    CHECK(caller.received_.find("data: 4 of 8") == std::string::npos);
    CHECK(!isFramedAsComplete(caller.received_));
    CHECK(caller.connection_.wasReset());
}

void checkWholeStream(const EntryVmHarness& vms, const std::string& path)
{
    StreamCaller caller(vms, path);
    caller.readToEnd();
    CHECK_EQUAL(200, statusOf(caller.received_));
    CHECK(caller.received_.find("data: 8 of 8") != std::string::npos);
    CHECK(isFramedAsComplete(caller.received_) && !caller.connection_.wasReset());
}

} // namespace

class KilledTargets : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(KilledTargets);
    CPPUNIT_TEST(streamWithoutFramingOfAKilledTargetIsBrokenOff);
    CPPUNIT_TEST(streamWithoutFramingOfAKilledTargetWithOtherConnectionsIsBrokenOff);
    CPPUNIT_TEST(streamWithoutFramingOfAStoppedTargetIsBrokenOff);
    CPPUNIT_TEST(streamWithoutFramingOfATargetThatStartsAgainAtOnceIsBrokenOff);
    CPPUNIT_TEST(streamWithoutFramingThatAVmRelaysIsBrokenOff);
    CPPUNIT_TEST(keptTurnWithoutFramingIsBrokenOff);
    CPPUNIT_TEST(framedStreamOfAKilledTargetIsBrokenOff);
    CPPUNIT_TEST(plainAnswerWithoutFramingOfAKilledTargetIsNotComplete);
    CPPUNIT_TEST(wholeStreamsWithoutFramingOfALivingTargetAreComplete);
    CPPUNIT_TEST_SUITE_END();

public:
    void streamWithoutFramingOfAKilledTargetIsBrokenOff()
    {
        EntryVmHarness vms({});
        ProcessTarget target(vms, "p0", slowEvents);
        checkStreamIsBrokenOff(vms, target, "/turn/none");
    }

    void streamWithoutFramingOfAKilledTargetWithOtherConnectionsIsBrokenOff()
    {
        EntryVmHarness vms({});
        ProcessTarget target(vms, "p0", slowEvents);
        checkWholeStream(vms, "/turn/chunks"); // Its connection is kept.
        StreamCaller other(vms, "/turn/none/other");
        other.readUntil("data: 1 of 8");
        checkStreamIsBrokenOff(vms, target, "/turn/none");
        other.readToEnd();
        CHECK(!isFramedAsComplete(other.received_));
    }

    void streamWithoutFramingOfAStoppedTargetIsBrokenOff()
    {
        EntryVmHarness vms({});
        ProcessTarget target(vms, "p0", slowEvents);
        checkStreamIsBrokenOff(vms, target, "/turn/none", SIGTERM);
    }

    // Its new process accepts connections, which tells nothing about the one that made the stream.
    void streamWithoutFramingOfATargetThatStartsAgainAtOnceIsBrokenOff()
    {
        EntryVmHarness vms({});
        ProcessTarget target(vms, "p0", slowEvents);
        StreamCaller caller(vms, "/turn/none");
        caller.readUntil("data: 3 of 8");
        target.restart();
        caller.readToEnd();
        CHECK(!isFramedAsComplete(caller.received_));
        CHECK(caller.connection_.wasReset());
    }

    void streamWithoutFramingThatAVmRelaysIsBrokenOff()
    {
        EntryVmHarness vms({}, true, 2);
        ProcessTarget target(vms, "p0", slowEvents);
        vms.setLinks(0, EntryVmHarness::LinkFault::Refused);
        target.announce();
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        checkStreamIsBrokenOff(vms, target, "/turn/none");
    }

    void keptTurnWithoutFramingIsBrokenOff()
    {
        EntryVmHarness vms({});
        ProcessTarget target(vms, "p0", slowEvents);
        checkStreamIsBrokenOff(vms, target, "/kept/none");
    }

    void framedStreamOfAKilledTargetIsBrokenOff()
    {
        for (const char* path : { "/turn/chunks", "/turn/length" }) {
            EntryVmHarness vms({});
            ProcessTarget target(vms, "p0", slowEvents);
            checkStreamIsBrokenOff(vms, target, path);
        }
    }

    void plainAnswerWithoutFramingOfAKilledTargetIsNotComplete()
    {
        for (const char* request : { "GET /read/none", "POST /call/none" }) {
            EntryVmHarness vms({});
            ProcessTarget target(vms, "p0", { "--gap_ms=600" });
            RawConnection caller(vms.port());
            caller.send(std::string(request) + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
                + requestHeaders + "Content-Length: 0\r\n\r\n");
            vms.waitUntil(
                "the target answers", [&] { return target.runs().find("r1") != std::string::npos; });
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            target.process().signalAndWait(SIGKILL);
            std::string answer = caller.readAll();
            CHECK(statusOf(answer) != 200);
        }
    }

    void wholeStreamsWithoutFramingOfALivingTargetAreComplete()
    {
        constexpr int rounds = 5;
        EntryVmHarness vms({}, true, 2);
        ProcessTarget target(vms, "p0");
        for (int i = 0; i < rounds; ++i)
            checkWholeStream(vms, "/turn/none");
        checkWholeStream(vms, "/turn/chunks");
        checkWholeStream(vms, "/turn/none");
        checkWholeStream(vms, "/kept/none");
        std::string plain = vms.request("GET", "/read/none", requestHeaders);
        CHECK_EQUAL(200, statusOf(plain));
        vms.setLinks(0, EntryVmHarness::LinkFault::Refused);
        target.announce();
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        checkWholeStream(vms, "/turn/none");
    }
};

REGISTER_SUITE(KilledTargets);
