// Guards against callers that fill a VM's memory with answers that they do not read.

#include "CallerCrowd.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::test;

class UnreadAnswers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(UnreadAnswers);
    CPPUNIT_TEST(answersThatNobodyReadsLeaveRoomForOrdinaryCallers);
    CPPUNIT_TEST(unreadAnswersDoNotHoldTargetsWhileRoomIsShort);
    CPPUNIT_TEST(nextRequestWaitsForTheReaderWhileRoomIsShort);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t callers = 400;
    static constexpr std::size_t answerBytes = 250 << 10; // Complete before the VM waits for the reader.
    static constexpr std::size_t unfinishedCallers = 80; // They hold most of the room for callers.
    static constexpr int receiveBuffer = 4096;
    static constexpr VmLimits limits { 64, 0, 65536 };
    static constexpr const char* largeRead
        = "GET /read/large HTTP/1.1\r\nHost: h.example\r\nFescuewinch-Request-Id: r1\r\n\r\n";

    static TargetAction answer(const HttpHead& request, const std::string&)
    {
        bool isLarge = request.target_.find("large") != std::string::npos;
        return { stampedResponse(request, std::string(isLarge ? answerBytes : 2, 'b')) };
    }

    static CallerBytes requests(std::size_t count)
    {
        CallerBytes bytes;
        bytes.part_ = largeRead;
        bytes.parts_ = count;
        return bytes;
    }

    static CallerBytes unfinishedRequest()
    {
        CallerBytes bytes;
        bytes.head_ = "POST /read/x HTTP/1.1\r\nHost: h.example\r\nFescuewinch-Request-Id: r1\r\n"
                      "Content-Length: 65536\r\n\r\nb";
        return bytes;
    }

public:
    void answersThatNobodyReadsLeaveRoomForOrdinaryCallers()
    {
        EntryVmHarness vm({ answer }, true, 1, limits);
        CallerCrowd crowd(vm, crowdOf(callers, requests(4)), receiveBuffer);
        crowd.press();
        crowd.watch();
        checkWithstood(vm, crowd, limits);
    }

    // Guards against answers that are passed on in parts for want of room: each took a slot of its target for
    // as long as its caller did not read.
    void unreadAnswersDoNotHoldTargetsWhileRoomIsShort()
    {
        constexpr int unreadCallers = 40; // More than a target takes at a time.
        EntryVmHarness vm({ answer }, true, 1, limits);
        CallerCrowd unfinished(vm, crowdOf(unfinishedCallers, unfinishedRequest()));
        unfinished.press();
        std::vector<std::unique_ptr<RawConnection>> unread;
        for (int i = 0; i < unreadCallers; ++i) {
            unread.push_back(std::make_unique<RawConnection>(vm.port(), receiveBuffer));
            unread.back()->send(largeRead);
            vm.waitUntil("the request runs", [&] { return vm.targetRequests() == 2 * i + 1; });
            // Its deadline comes before that of the requests whose answers are not read.
            CHECK_EQUAL(200, statusOf(vm.request("GET", "/read/small", requestHeaders)));
        }
    }

    // Guards against callers that keep targets busy with answers that they do not read.
    void nextRequestWaitsForTheReaderWhileRoomIsShort()
    {
        EntryVmHarness vm({ answer }, true, 1, limits);
        CallerCrowd unfinished(vm, crowdOf(unfinishedCallers, unfinishedRequest()));
        unfinished.press();
        RawConnection caller(vm.port(), receiveBuffer);
        caller.send(largeRead);
        caller.send("GET /read/large HTTP/1.1\r\nHost: h.example\r\nFescuewinch-Request-Id: "
                    "r2\r\nConnection: close\r\n\r\n");
        unfinished.watch();
        CHECK_EQUAL(1, vm.targetRequests());
        std::string answers = caller.readAll();
        CHECK_EQUAL(2, vm.targetRequests());
        CHECK(answers.size() > 2 * answerBytes);
    }
};

REGISTER_SUITE(UnreadAnswers);
