// Guards against a late second copy of a refusal that is taken for the answer to the next send of the same
// request: the request runs twice, or its caller is told that it has not run.

#include "EntryVmHarness.h"
#include "Suite.h"

#include <map>
#include <mutex>

using namespace fescue;
using namespace fescue::test;

namespace {

// A target that refuses the first sends of each request, each time twice, and runs the later ones.
class RefusingTarget {
public:
    explicit RefusingTarget(int refusals)
        : refusals_(refusals)
    {
    }

    ScriptedTarget::Script script()
    {
        return [this](const HttpHead& request, const std::string&) {
            std::lock_guard<std::mutex> lock(mutex_);
            if (++sends_[*findHeader(request, "Fescuewinch-Request-Id")] > refusals_)
                return TargetAction { stampedResponse(request, "done") };
            TargetAction refusal { targetRefusal(request) };
            refusal.comesAgain_ = true;
            return refusal;
        };
    }

    int runsOf(const std::string& attempt) const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto sends = sends_.find(attempt);
        return sends == sends_.end() ? 0 : std::max(0, sends->second - refusals_);
    }

private:
    int refusals_;
    mutable std::mutex mutex_;
    std::map<std::string, int> sends_;
};

} // namespace

class LateResponses : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LateResponses);
    CPPUNIT_TEST(requestThatWasRefusedOnceRunsOnce);
    CPPUNIT_TEST(requestThatRunsAtItsLastSendIsNotCalledRefused);
    CPPUNIT_TEST(connectionsAreKeptForOtherRequests);
    CPPUNIT_TEST(refusalOfAnEarlierRequestIsNotTakenForAnAnswer);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int requestCount = 12;

    static int takeAll(const EntryVmHarness& vm, const RefusingTarget& target, int expectedStatus)
    {
        int runs = 0;
        for (int i = 0; i < requestCount; ++i) {
            std::string attempt = "r-" + std::to_string(i);
            std::string answer = vm.request("POST", "/call/1",
                "Fescuewinch-Request-Id: " + attempt + "\r\nFescuewinch-Deadline-Ms: 2500\r\n", "order");
            CHECK_EQUAL(expectedStatus, statusOf(answer));
            CHECK(target.runsOf(attempt) <= 1);
            runs += target.runsOf(attempt);
        }
        return runs;
    }

public:
    void requestThatWasRefusedOnceRunsOnce()
    {
        RefusingTarget target(1);
        EntryVmHarness vm({ target.script() });
        CHECK_EQUAL(requestCount, takeAll(vm, target, 200));
    }

    // A VM sends a request eight times at most.
    void requestThatRunsAtItsLastSendIsNotCalledRefused()
    {
        constexpr int maxSends = 8;
        RefusingTarget target(maxSends - 1);
        EntryVmHarness vm({ target.script() });
        CHECK_EQUAL(requestCount, takeAll(vm, target, 200));
    }

    // New connections are costly, and a target may accept few of them.
    void connectionsAreKeptForOtherRequests()
    {
        constexpr int maxClosed = 2;
        RefusingTarget target(1);
        EntryVmHarness vm({ target.script() });
        takeAll(vm, target, 200);
        CHECK(vm.target(0).closedConnections() <= maxClosed);
    }

    // With the id of the earlier request, and without any.
    void refusalOfAnEarlierRequestIsNotTakenForAnAnswer()
    {
        HttpHead earlier;
        earlier.headers_.push_back({ "Fescuewinch-Request-Id", "r-0" });
        for (const HttpHead& refused : { earlier, HttpHead {} }) {
            std::atomic<int> sends { 0 };
            EntryVmHarness vm({ [&](const HttpHead& request, const std::string&) {
                std::string answer = stampedResponse(request, "done");
                return TargetAction { ++sends == 1 ? answer : targetRefusal(refused) + answer };
            } });
            for (int i = 0; i < requestCount; ++i) {
                int before = sends;
                std::string answer = vm.request("POST", "/call/1",
                    "Fescuewinch-Request-Id: r-" + std::to_string(i)
                        + "\r\nFescuewinch-Deadline-Ms: 1200\r\n",
                    "order");
                CHECK_EQUAL(200, statusOf(answer));
                CHECK_EQUAL(before + 1, sends.load());
            }
        }
    }
};

REGISTER_SUITE(LateResponses);
