// Guards against callers whose bytes in the buffers of a VM's sockets, together with its resident memory,
// exceed the memory of its machine, so that its process is killed.

#include "CallerCrowd.h"
#include "Suite.h"

#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

class SocketMemory : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SocketMemory);
    CPPUNIT_TEST(bodiesThatStopShortFromAsManyCallersAsDescriptorsAllow);
    CPPUNIT_TEST(smallBodiesThatStopShortFromManyCallers);
    CPPUNIT_TEST(smallBodiesThatStopShortOnASmallVm);
    CPPUNIT_TEST(requestsSentAheadByCallersThatReadNothing);
    CPPUNIT_TEST(inputSentAheadOfAnswersThatDoNotCome);
    CPPUNIT_TEST(answersThatManyCallersDoNotRead);
    CPPUNIT_TEST(bodiesThatStopShortAtThePortForOtherVms);
    CPPUNIT_TEST(headsThatStopShortAtTheReadinessPort);
    CPPUNIT_TEST(crowdsOfSeveralKindsOneAfterAnotherOnASmallVm);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t kilobyte = 1024;
    static constexpr std::size_t maxBodyBytes = 4 << 20;
    static constexpr int descriptors = 8200;
    // What the descriptors of a VM leave for callers beside those that the system keeps for files.
    static constexpr std::size_t mostCallers = 7900;
    static constexpr VmLimits limits { 260, descriptors, maxBodyBytes };
    static constexpr VmLimits smallLimits { 120, descriptors, maxBodyBytes };

    // All but the last byte of a body.
    static CallerBytes unfinishedBody(std::size_t bytes, const std::string& path = "/call/x")
    {
        std::string head = fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nFescuewinch-Request-Id: r1\r\n"
                                       "Content-Length: {}\r\n\r\n",
            path, bytes);
        return { head, std::string(kilobyte, 'b'), bytes / kilobyte - 1, std::string(kilobyte - 1, 'b') };
    }

    static CallerBytes unfinishedHead(const std::string& path)
    {
        CallerBytes bytes;
        bytes.head_ = fmt::format("GET {} HTTP/1.1\r\nHost: h.example\r\n", path);
        bytes.part_ = "X-Padding: " + std::string(kilobyte, 'b') + "\r\n";
        bytes.parts_ = 14;
        return bytes;
    }

    static CallerBytes requestsAhead(const std::string& path, std::size_t bytes)
    {
        CallerBytes caller;
        caller.part_
            = fmt::format("GET {} HTTP/1.1\r\nHost: h.example\r\nFescuewinch-Request-Id: r1\r\n\r\n", path);
        caller.parts_ = bytes / caller.part_.size();
        return caller;
    }

    static void withstand(
        EntryVmHarness& vm, CallerCrowd& crowd, const VmLimits& limits, TargetRoom room = TargetRoom::Free)
    {
        crowd.pressAcrossPause(vm);
        crowd.watch();
        checkWithstood(vm, crowd, limits, room);
    }

    static void withstand(std::size_t callers, const CallerBytes& bytes, const VmLimits& limits)
    {
        EntryVmHarness vm({ answerOk }, true, 1, limits);
        CallerCrowd crowd(vm, crowdOf(callers, bytes));
        withstand(vm, crowd, limits);
    }

    // The same at a port that is not for callers.
    static void withstandAt(const std::function<int(const EntryVmHarness&)>& portOf, const CallerBytes& bytes)
    {
        EntryVmHarness vm({ answerOk }, true, 1, limits);
        CallerCrowd crowd(vm, crowdOf(mostCallers, bytes), 0, portOf(vm));
        withstand(vm, crowd, limits);
    }

    static TargetAction answerOk(const HttpHead& request, const std::string&)
    {
        return TargetAction { stampedResponse(request, "ok") };
    }

public:
    void bodiesThatStopShortFromAsManyCallersAsDescriptorsAllow()
    {
        withstand(mostCallers, unfinishedBody(120 * kilobyte), limits);
    }

    void smallBodiesThatStopShortFromManyCallers() { withstand(6000, unfinishedBody(61 * kilobyte), limits); }

    void smallBodiesThatStopShortOnASmallVm() { withstand(3000, unfinishedBody(61 * kilobyte), smallLimits); }

    // Each answer comes at once, from the VM.
    void requestsSentAheadByCallersThatReadNothing()
    {
        withstand(2500, requestsAhead("/absent", 400 * kilobyte), limits);
    }

    void inputSentAheadOfAnswersThatDoNotCome()
    {
        EntryVmHarness vm({ [](const HttpHead& request, const std::string& body) {
            bool isSilent = request.target_.find("silent") != std::string::npos;
            return isSilent ? TargetAction {} : answerOk(request, body);
        } },
            true, 1, limits);
        CallerCrowd crowd(vm, crowdOf(mostCallers, requestsAhead("/read/silent", 100 * kilobyte)));
        withstand(vm, crowd, limits, TargetRoom::TakenByCrowd);
    }

    void answersThatManyCallersDoNotRead()
    {
        constexpr std::size_t answerBytes = 60 * kilobyte;
        constexpr int receiveBuffer = 4096;
        EntryVmHarness vm({ [](const HttpHead& request, const std::string&) {
            bool isLarge = request.target_.find("large") != std::string::npos;
            return TargetAction { stampedResponse(request, std::string(isLarge ? answerBytes : 2, 'b')) };
        } },
            true, 1, limits);
        CallerCrowd crowd(vm, crowdOf(mostCallers, requestsAhead("/read/large", 400)), receiveBuffer);
        withstand(vm, crowd, limits, TargetRoom::TakenByCrowd);
    }

    void bodiesThatStopShortAtThePortForOtherVms()
    {
        withstandAt([](const EntryVmHarness& vm) { return vm.peerPort(); },
            unfinishedBody(120 * kilobyte, "/vm/relay"));
    }

    void headsThatStopShortAtTheReadinessPort()
    {
        withstandAt([](const EntryVmHarness& vm) { return vm.readinessPort(); }, unfinishedHead("/readyz"));
    }

    // What the allocator keeps of one crowd counts while the next one is there.
    void crowdsOfSeveralKindsOneAfterAnotherOnASmallVm()
    {
        EntryVmHarness vm({ answerOk }, true, 1, smallLimits);
        for (const auto& callers : { crowdOf(3000, unfinishedBody(61 * kilobyte)),
                 crowdOf(3000, unfinishedHead("/read/a")), crowdOf(20, unfinishedBody(maxBodyBytes)),
                 crowdOf(1000, requestsAhead("/absent", 100 * kilobyte)) }) {
            CallerCrowd crowd(vm, callers);
            withstand(vm, crowd, smallLimits);
        }
    }
};

REGISTER_SUITE(SocketMemory);
