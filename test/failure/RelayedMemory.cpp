// Guards against answers on their way through a VM, and requests that it relays for another one, that
// together exceed the memory of its machine, so that its process is killed.

#include "CallerCrowd.h"
#include "EndlessBytes.h"
#include "Suite.h"

#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

class RelayedMemory : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RelayedMemory);
    CPPUNIT_TEST(unfinishedAnswersOfManyTargets);
    CPPUNIT_TEST(unfinishedAnswersOfManyTargetsOnASmallVm);
    CPPUNIT_TEST(endlessAnswersThatManyCallersDoNotRead);
    CPPUNIT_TEST(endlessAnswersThatManyCallersDoNotReadOnASmallVm);
    CPPUNIT_TEST(endlessStreamsThatManyCallersDoNotRead);
    CPPUNIT_TEST(endlessHeadsOfManyTargets);
    CPPUNIT_TEST(unfinishedAnswersForAnotherVm);
    CPPUNIT_TEST(unfinishedAnswersForAnotherVmOnASmallVm);
    CPPUNIT_TEST(largeBodiesForAnotherVm);
    CPPUNIT_TEST(largeBodiesForAnotherVmOnASmallVm);
    CPPUNIT_TEST(unfinishedAnswersThroughAnotherVm);
    CPPUNIT_TEST(unfinishedAnswersThroughAnotherVmOnASmallVm);
    CPPUNIT_TEST(largeBodiesThroughAnotherVm);
    CPPUNIT_TEST(largeBodiesThroughAnotherVmOnASmallVm);
    CPPUNIT_TEST(textOfKeptTurnsOfManyTargets);
    CPPUNIT_TEST(textOfKeptTurnsOfManyTargetsOnASmallVm);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t kilobyte = 1024;
    static constexpr std::size_t targets = 100;
    static constexpr std::size_t maxBodyBytes = 4 << 20;
    static constexpr int descriptors = 8200;
    static constexpr int smallReceiveBuffer = 4096;
    static constexpr VmLimits limits { 260, descriptors, maxBodyBytes };
    static constexpr VmLimits smallLimits { 120, descriptors, maxBodyBytes };

    // An answer that is longer than what the target sends of it.
    static TargetAction unfinishedAnswer(const HttpHead& request)
    {
        constexpr std::size_t sentBytes = 250 * kilobyte;
        return { stampedHead(request, fmt::format("Content-Length: {}\r\n", maxBodyBytes))
            + std::string(sentBytes, 'b') };
    }

    static TargetAction endlessAnswer(const HttpHead& request)
    {
        TargetAction action { stampedHead(request, fmt::format("Content-Length: {}\r\n", maxBodyBytes)) };
        action.endless_ = blockOf("x");
        return action;
    }

    static TargetAction endlessStream(const HttpHead& request)
    {
        TargetAction action { stampedHead(request, "Content-Type: text/event-stream\r\n") };
        action.endless_ = blockOf("id: 1\ndata: x\n\n");
        return action;
    }

    static TargetAction endlessHead(const HttpHead&)
    {
        constexpr std::size_t sentBytes = 60 * kilobyte;
        return { "HTTP/1.1 200 OK\r\nX-Padding: " + std::string(sentBytes, 'b') };
    }

    // Ordinary requests are answered at once.
    static std::vector<ScriptedTarget::Script> targetsThat(TargetAction (*answer)(const HttpHead&))
    {
        return std::vector<ScriptedTarget::Script>(
            targets, [answer](const HttpHead& request, const std::string&) {
                bool isOrdinary = request.target_ == "/read/a";
                return isOrdinary ? TargetAction { stampedResponse(request, "ok") } : answer(request);
            });
    }

    static CallerBytes requests(const std::string& path)
    {
        constexpr std::size_t requestsOfCaller = 4;
        CallerBytes caller;
        caller.part_
            = fmt::format("GET {} HTTP/1.1\r\nHost: h.example\r\nFescuewinch-Request-Id: r1\r\n\r\n", path);
        caller.parts_ = requestsOfCaller;
        return caller;
    }

    static void withstand(TargetAction (*answer)(const HttpHead&), const std::string& path,
        std::size_t callers, const VmLimits& limits)
    {
        EntryVmHarness vm(targetsThat(answer), true, 1, limits);
        CallerCrowd crowd(vm, crowdOf(callers, requests(path)), smallReceiveBuffer);
        crowd.press();
        crowd.watch();
        checkWithstood(vm, crowd, limits, TargetRoom::TakenByCrowd);
    }

    static TargetAction noAnswer(const HttpHead&) { return {}; }

    static CallerBytes largeBody()
    {
        CallerBytes caller;
        caller.head_ = callHead(fmt::format("Content-Length: {}\r\n", maxBodyBytes));
        caller.part_ = std::string(kilobyte, 'b');
        caller.parts_ = maxBodyBytes / kilobyte;
        return caller;
    }

    // The VM whose memory counts is the first one. Another one has lost its links and relays through it, or
    // it has lost its own links itself.
    enum class Links { LostByOther, LostByIt };

    static void withstandRelayed(Links links, TargetAction (*answer)(const HttpHead&),
        const std::vector<CallerBytes>& callers, const VmLimits& limits)
    {
        EntryVmHarness vms(targetsThat(answer), true, 2, limits);
        std::size_t cutOff = links == Links::LostByIt ? 0 : 1;
        vms.setLinks(cutOff, EntryVmHarness::LinkFault::Refused);
        // VMs read the addresses of targets every 600 ms, and the first requests find out that there are no
        // links.
        std::this_thread::sleep_for(std::chrono::milliseconds(1000));
        for (int i = 0; i < 3; ++i)
            vms.requestAt(cutOff, "GET", "/read/a", "Fescuewinch-Request-Id: ordinary\r\n");
        int before = vms.targetRequests();
        CallerCrowd crowd(vms, callers, smallReceiveBuffer, vms.port(cutOff));
        crowd.press();
        crowd.watch();
        CHECK(vms.targetRequests() > before);
        checkWithstood(vms, crowd, limits, TargetRoom::TakenByCrowd);
    }

    // The text of a turn that is kept, without an end.
    static TargetAction unfinishedTurn(const HttpHead& request)
    {
        constexpr std::size_t textBytes = 120 * kilobyte;
        return { stampedHead(request, "Content-Type: text/event-stream\r\n")
            + "id: 1\ndata: " + std::string(textBytes, 'b') + "\n\n" };
    }
    static std::vector<CallerBytes> keptTurns(std::size_t count)
    {
        std::vector<CallerBytes> callers;
        for (std::size_t i = 0; i < count; ++i) {
            CallerBytes caller;
            caller.head_ = fmt::format("POST /kept/1 HTTP/1.1\r\nHost: h.example\r\nFescuewinch-Request-Id: "
                                       "t{}\r\n{}Content-Length: 3\r\n\r\npay",
                i, programHeaders(fmt::format("p{}", i), "9000"));
            callers.push_back(caller);
        }
        return callers;
    }
    static void withstandTurns(std::size_t count, const VmLimits& limits)
    {
        EntryVmHarness vm(targetsThat(unfinishedTurn), true, 1, limits);
        CallerCrowd crowd(vm, keptTurns(count));
        crowd.press();
        crowd.watch();
        checkWithstood(vm, crowd, limits, TargetRoom::TakenByCrowd);
    }

public:
    void unfinishedAnswersOfManyTargets() { withstand(unfinishedAnswer, "/read/large", 2000, limits); }
    void unfinishedAnswersOfManyTargetsOnASmallVm()
    {
        withstand(unfinishedAnswer, "/read/large", 1000, smallLimits);
    }
    void endlessAnswersThatManyCallersDoNotRead() { withstand(endlessAnswer, "/read/large", 2000, limits); }
    void endlessAnswersThatManyCallersDoNotReadOnASmallVm()
    {
        withstand(endlessAnswer, "/read/large", 1000, smallLimits);
    }
    void endlessStreamsThatManyCallersDoNotRead() { withstand(endlessStream, "/turn/1", 2000, limits); }
    // Guards also against an event loop that stands still while many requests end at once, and each lets the
    // next one of its connection begin.
    void endlessHeadsOfManyTargets() { withstand(endlessHead, "/read/large", 2000, limits); }
    void unfinishedAnswersForAnotherVm()
    {
        withstandRelayed(
            Links::LostByOther, unfinishedAnswer, crowdOf(2000, requests("/read/large")), limits);
    }
    void unfinishedAnswersForAnotherVmOnASmallVm()
    {
        withstandRelayed(
            Links::LostByOther, unfinishedAnswer, crowdOf(1000, requests("/read/large")), smallLimits);
    }
    void largeBodiesForAnotherVm()
    {
        withstandRelayed(Links::LostByOther, noAnswer, crowdOf(100, largeBody()), limits);
    }
    void largeBodiesForAnotherVmOnASmallVm()
    {
        withstandRelayed(Links::LostByOther, noAnswer, crowdOf(100, largeBody()), smallLimits);
    }
    void unfinishedAnswersThroughAnotherVm()
    {
        withstandRelayed(Links::LostByIt, unfinishedAnswer, crowdOf(2000, requests("/read/large")), limits);
    }
    void unfinishedAnswersThroughAnotherVmOnASmallVm()
    {
        withstandRelayed(
            Links::LostByIt, unfinishedAnswer, crowdOf(1000, requests("/read/large")), smallLimits);
    }
    void largeBodiesThroughAnotherVm()
    {
        withstandRelayed(Links::LostByIt, noAnswer, crowdOf(100, largeBody()), limits);
    }
    void largeBodiesThroughAnotherVmOnASmallVm()
    {
        withstandRelayed(Links::LostByIt, noAnswer, crowdOf(100, largeBody()), smallLimits);
    }
    void textOfKeptTurnsOfManyTargets() { withstandTurns(2000, limits); }
    void textOfKeptTurnsOfManyTargetsOnASmallVm() { withstandTurns(1000, smallLimits); }
};

REGISTER_SUITE(RelayedMemory);
