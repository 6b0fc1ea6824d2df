// Guards against requests and answers of some megabytes that miss their deadlines, since each part of them
// waits for an acknowledgement that its receiver delays.

#include "EntryVmHarness.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::test;

class LargeMessages : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LargeMessages);
    CPPUNIT_TEST(largeBodiesReachTargets);
    CPPUNIT_TEST(largeBodiesReachTargetsThroughAnotherVm);
    CPPUNIT_TEST(largeAnswersReachCallers);
    CPPUNIT_TEST(largeAnswersReachCallersThroughAnotherVm);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t messageBytes = 4 << 20;
    static constexpr VmLimits limits { 260, 8200, messageBytes };
    enum class Way { Direct, ThroughAnotherVm };

    static TargetAction answer(const HttpHead& request, const std::string& body)
    {
        bool isLarge = request.target_ == "/read/large";
        return TargetAction { stampedResponse(
            request, isLarge ? std::string(messageBytes, 'b') : std::to_string(body.size())) };
    }

    // Requests have 2 s. The first ones on a connection are acknowledged sooner than later ones.
    static void checkServed(
        Way way, const std::string& path, const std::string& body, std::size_t answerBytes)
    {
        EntryVmHarness vms(std::vector<ScriptedTarget::Script>(4, answer), true, 2, limits);
        if (way == Way::ThroughAnotherVm) {
            vms.setLinks(0, EntryVmHarness::LinkFault::Refused);
            // VMs read the addresses of targets every 600 ms.
            std::this_thread::sleep_for(std::chrono::milliseconds(1000));
            for (int i = 0; i < 3; ++i)
                vms.request("GET", "/read/a", "Fescuewinch-Request-Id: first\r\n");
        }
        constexpr int requests = 8;
        for (int i = 0; i < requests; ++i) {
            std::string received = vms.request("POST", path, "Fescuewinch-Request-Id: r1\r\n", body);
            CHECK_EQUAL(200, statusOf(received));
            CHECK(received.size() >= answerBytes);
            CHECK(
                body.empty() || received.find("\r\n\r\n" + std::to_string(body.size())) != std::string::npos);
        }
    }

public:
    void largeBodiesReachTargets() { checkServed(Way::Direct, "/read/a", std::string(messageBytes, 'b'), 0); }
    void largeBodiesReachTargetsThroughAnotherVm()
    {
        checkServed(Way::ThroughAnotherVm, "/read/a", std::string(messageBytes, 'b'), 0);
    }
    void largeAnswersReachCallers() { checkServed(Way::Direct, "/read/large", "", messageBytes); }
    void largeAnswersReachCallersThroughAnotherVm()
    {
        checkServed(Way::ThroughAnotherVm, "/read/large", "", messageBytes);
    }
};

REGISTER_SUITE(LargeMessages);
