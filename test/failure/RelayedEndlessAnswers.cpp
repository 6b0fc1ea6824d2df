// Guards against a target whose bytes never end and that fill the memory of a VM that relays them, or of the
// VM that has lost its links and gets them from there, when many callers read them or none does.

#include "BootClock.h"
#include "EndlessBytes.h"
#include "EntryVmHarness.h"
#include "Suite.h"

#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

namespace {

// What was received is bounded for all requests together; a second of it would be gigabytes.
constexpr ByteCount maxGrowth { 48 << 20 };
constexpr int callers = 20;
constexpr Milliseconds deadline { 1200 };
// VMs read the addresses of targets every 600 ms.
constexpr Milliseconds noticeTime { 1000 };

struct Form {
    const char* path_;
    std::string framing_;
    std::string endless_;
    int status_;
};

const std::vector<Form> forms {
    { "/call/1", "", blockOf("x"), 200 },
    { "/call/1", "Content-Length: 60000000\r\n", blockOf("x"), 200 },
    { "/call/1", "Transfer-Encoding: chunked\r\n", toChunk(blockOf("x")), 500 },
    { "/turn/1", "Content-Type: text/event-stream\r\n", blockOf("x"), 200 },
    { "/turn/1", "Content-Type: text/plain\r\n", blockOf("x"), 200 },
    { "/read/1", "Fescuewinch-Not-Executed: 1\r\n", blockOf("x"), 503 },
};

} // namespace

class RelayedEndlessAnswers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RelayedEndlessAnswers);
    CPPUNIT_TEST(callersThatReadCostBoundedMemory);
    CPPUNIT_TEST(callersThatDoNotReadCostBoundedMemory);
    CPPUNIT_TEST_SUITE_END();

    static void checkBounded(const Form& form, bool areReading)
    {
        auto respond = [form](const HttpHead& request, const std::string& body) {
            if (body == "ordinary")
                return TargetAction { stampedResponse(request, "good") };
            TargetAction action { stampedHead(request, form.framing_, form.status_) };
            action.endless_ = form.endless_;
            return action;
        };
        // A VM takes its links for lost when several targets cannot be reached.
        EntryVmHarness vms(std::vector<ScriptedTarget::Script>(4, respond), true, 2);
        vms.setLinks(0, EntryVmHarness::LinkFault::Refused);
        std::this_thread::sleep_for(noticeTime);
        // The first requests find out that there are no links.
        for (int i = 0; i < 3; ++i)
            vms.request("POST", "/read/1", requestHeaders, "ordinary");
        int runs = vms.targetRequests();
        std::vector<ByteCount> before { vms.residentMemory(0), vms.residentMemory(1) };
        constexpr int smallReceiveBuffer = 4096;
        std::vector<std::unique_ptr<RawConnection>> connections;
        for (int i = 0; i < callers; ++i) {
            connections.push_back(std::make_unique<RawConnection>(vms.port(0), smallReceiveBuffer));
            connections.back()->send(fmt::format(
                "POST {} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nFescuewinch-Request-Id: e{}\r\n"
                "Fescuewinch-Deadline-Ms: {}\r\n{}Content-Length: 3\r\n\r\npay",
                form.path_, i, deadline.count(), programHeaders(fmt::format("p{}", i), "9000")));
        }
        std::vector<std::thread> readers;
        for (auto& connection : connections) {
            if (areReading)
                readers.emplace_back([&connection] { connection->readAll(); });
        }
        std::this_thread::sleep_for(deadline + Milliseconds { 500 });
        for (std::thread& reader : readers)
            reader.join();
        CHECK(vms.targetRequests() > runs);
        std::string detail = fmt::format("{} {} {}", form.path_, form.status_, form.framing_);
        for (std::size_t vm = 0; vm < before.size(); ++vm)
            CPPUNIT_ASSERT_MESSAGE(
                detail, vms.peakResidentMemory(vm).value_ < before[vm].value_ + maxGrowth.value_);
        connections.clear();
        vms.waitUntil("an ordinary request is answered",
            [&] { return statusOf(vms.request("POST", "/read/1", requestHeaders, "ordinary")) == 200; });
    }

public:
    void callersThatReadCostBoundedMemory()
    {
        for (const Form& form : forms)
            checkBounded(form, true);
    }

    void callersThatDoNotReadCostBoundedMemory()
    {
        for (const Form& form : forms)
            checkBounded(form, false);
    }
};

REGISTER_SUITE(RelayedEndlessAnswers);
