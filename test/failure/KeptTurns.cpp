// Turns whose text the system keeps, through whole processes: what targets receive, and when a response ends.

#include "BootClock.h"
#include "EntryVmHarness.h"
#include "Suite.h"

#include <csignal>
#include <fmt/format.h>
#include <map>
#include <mutex>
#include <thread>

using namespace fescue;
using namespace fescue::test;

namespace {

// A target that answers each turn with two events that depend on its id, and records what it received.
class Engine {
public:
    ScriptedTarget::Script script()
    {
        return [this](const HttpHead& request, const std::string& body) {
            std::string id = *findHeader(request, "Fescuewinch-Request-Id");
            std::lock_guard<std::mutex> lock(mutex_);
            bodies_[id] = body;
            lengths_[id] = *findHeader(request, "Content-Length");
            return TargetAction {
                stampedHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", 200)
                    + toChunk(": note\nid: 1\ndata: " + id + " first\n\n")
                    + toChunk("id: 2\r\ndata:second\r\ndata: line\r\n\r\n") + (isBroken_ ? "" : "0\r\n\r\n"),
                isBroken_
            };
        };
    }

    std::string bodyOf(const std::string& id) const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = bodies_.find(id);
        return found == bodies_.end() ? "(not run)" : found->second;
    }

    std::string lengthOf(const std::string& id) const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return lengths_.at(id);
    }

    std::atomic<bool> isBroken_ { false };

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::string> bodies_;
    std::map<std::string, std::string> lengths_;
};

std::string outputOf(const std::string& id) { return id + " first\nsecond\nline\n"; }

bool isWhole(const std::string& response)
{
    constexpr std::string_view end = "0\r\n\r\n";
    return statusOf(response) == 200 && response.size() > end.size()
        && response.substr(response.size() - end.size()) == end;
}

struct Setup {
    Engine engine_;
    EntryVmHarness vms_;

    explicit Setup(std::size_t vms = 2)
        : vms_({ engine_.script() }, true, vms)
    {
    }

    std::string send(std::size_t vm, const std::string& id, const std::string& previous,
        const std::string& input, int deadlineMs = 2500) const
    {
        std::string headers
            = fmt::format("Fescuewinch-Request-Id: {}\r\nFescuewinch-Deadline-Ms: {}\r\n", id, deadlineMs)
            + programHeaders("program", "90000");
        if (!previous.empty())
            headers += "Fescuewinch-Previous-Turn: " + previous + "\r\n";
        return vms_.requestAt(vm, "POST", "/kept/1", headers, input);
    }
};

} // namespace

class KeptTurns : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(KeptTurns);
    CPPUNIT_TEST(targetReceivesTheWholeConversation);
    CPPUNIT_TEST(conversationGoesOnAfterAllVmsAreKilled);
    CPPUNIT_TEST(responseEndsOnlyOnceTheStoreHasTheTurn);
    CPPUNIT_TEST(responseIsBrokenOffIfItsTurnCannotBeKept);
    CPPUNIT_TEST(turnThatWasBrokenOffDoesNotExist);
    CPPUNIT_TEST(unknownTurnIsNotFoundOnlyWithTheStore);
    CPPUNIT_TEST(tooLargeInputsAndConversationsAreRefused);
    CPPUNIT_TEST(plannedStopWaitsForTheStore);
    CPPUNIT_TEST(vmWithoutLinksKeepsTurnsThatItRelays);
    CPPUNIT_TEST_SUITE_END();

public:
    void targetReceivesTheWholeConversation()
    {
        Setup setup;
        CHECK(isWhole(setup.send(0, "t1", "", "one")));
        CHECK(isWhole(setup.send(1, "t2", "t1", "two")));
        CHECK(isWhole(setup.send(0, "t3", "t2", "three")));
        CHECK(isWhole(setup.send(1, "t2b", "t1", "other")));
        std::string first = "one" + outputOf("t1");
        CHECK_EQUAL(std::string("one"), setup.engine_.bodyOf("t1"));
        CHECK_EQUAL(first + "two", setup.engine_.bodyOf("t2"));
        CHECK_EQUAL(first + "two" + outputOf("t2") + "three", setup.engine_.bodyOf("t3"));
        CHECK_EQUAL(first + "other", setup.engine_.bodyOf("t2b"));
        CHECK_EQUAL(std::to_string(setup.engine_.bodyOf("t3").size()), setup.engine_.lengthOf("t3"));
    }

    void conversationGoesOnAfterAllVmsAreKilled()
    {
        Setup setup;
        CHECK(isWhole(setup.send(0, "t1", "", "one")));
        CHECK(isWhole(setup.send(1, "t2", "t1", "two")));
        setup.vms_.process(0).signalAndWait(SIGKILL);
        setup.vms_.restartVm(1);
        setup.vms_.restartVm(0);
        CHECK(isWhole(setup.send(0, "t3", "t2", "three")));
        CHECK_EQUAL("one" + outputOf("t1") + "two" + outputOf("t2") + "three", setup.engine_.bodyOf("t3"));
    }

    // A caller may continue from a turn as soon as it has ended, at another VM, after the loss of this one.
    void responseEndsOnlyOnceTheStoreHasTheTurn()
    {
        Setup setup(1);
        CHECK(isWhole(setup.send(0, "t1", "", "one")));
        setup.vms_.runOnStore([](standin::PlatformStore& store) { store.faults().isSilent_ = true; });
        std::string response;
        std::atomic<bool> isDone { false };
        std::thread caller([&] {
            response = setup.send(0, "t2", "t1", "two");
            isDone = true;
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
        bool wasDone = isDone;
        setup.vms_.runOnStore([](standin::PlatformStore& store) { store.faults().isSilent_ = false; });
        caller.join();
        CHECK(!wasDone);
        CHECK(isWhole(response));
    }

    void responseIsBrokenOffIfItsTurnCannotBeKept()
    {
        Setup setup(1);
        CHECK(isWhole(setup.send(0, "t1", "", "one")));
        setup.vms_.runOnStore([](standin::PlatformStore& store) { store.faults().isSilent_ = true; });
        constexpr int deadlineMs = 600;
        std::string response = setup.send(0, "t2", "t1", "two", deadlineMs);
        CHECK_EQUAL(200, statusOf(response));
        CHECK(response.find("t2 first") != std::string::npos);
        CHECK(!isWhole(response));
    }

    void turnThatWasBrokenOffDoesNotExist()
    {
        Setup setup(1);
        setup.engine_.isBroken_ = true;
        CHECK(!isWhole(setup.send(0, "t1", "", "one")));
        setup.engine_.isBroken_ = false;
        CHECK_EQUAL(404, statusOf(setup.send(0, "t2", "t1", "two")));
        CHECK_EQUAL(std::string("(not run)"), setup.engine_.bodyOf("t2"));
    }

    void unknownTurnIsNotFoundOnlyWithTheStore()
    {
        Setup setup(1);
        CHECK_EQUAL(404, statusOf(setup.send(0, "t1", "forged", "one")));
        setup.vms_.runOnStore([](standin::PlatformStore& store) { store.faults().isDown_ = true; });
        std::string response = setup.send(0, "t2", "forged", "one");
        CHECK_EQUAL(503, statusOf(response));
        CHECK(response.find("Retry-After") != std::string::npos);
        CHECK_EQUAL(std::string("(not run)"), setup.engine_.bodyOf("t2"));
    }

    void tooLargeInputsAndConversationsAreRefused()
    {
        Setup setup(1);
        constexpr std::size_t large = 40000; // Two of them exceed the configured size of a body.
        CHECK(isWhole(setup.send(0, "t1", "", std::string(large, 'x'))));
        CHECK_EQUAL(413, statusOf(setup.send(0, "t2", "t1", std::string(large, 'y'))));
        CHECK(isWhole(setup.send(0, "t3", "t1", "short")));
    }

    void plannedStopWaitsForTheStore()
    {
        Setup setup;
        setup.vms_.runOnStore([](standin::PlatformStore& store) {
            store.faults().answersToDrop_
                = 1; // Of the claim on the budget or of the turn; both are repeated.
        });
        std::string response;
        std::thread caller([&] { response = setup.send(0, "t1", "", "one"); });
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        setup.vms_.process(0).signalAndWait(SIGTERM);
        caller.join();
        CHECK(isWhole(response));
        CHECK(isWhole(setup.send(1, "t2", "t1", "two")));
        CHECK_EQUAL("one" + outputOf("t1") + "two", setup.engine_.bodyOf("t2"));
    }

    // The VM that has the conversation completes the turn, and the one that sends it passes it on unchanged.
    void vmWithoutLinksKeepsTurnsThatItRelays()
    {
        Setup setup;
        CHECK(isWhole(setup.send(0, "t1", "", "one")));
        setup.vms_.setLinks(0, EntryVmHarness::LinkFault::Refused);
        std::this_thread::sleep_for(std::chrono::milliseconds(1000));
        std::string response;
        for (int i = 0; i < 20 && !isWhole(response); ++i)
            response = setup.send(0, fmt::format("t2-{}", i), "t1", "two");
        CHECK(isWhole(response));
        std::string id = response.substr(response.find("Fescuewinch-Request-Id: ") + 24);
        id = id.substr(0, id.find('\r'));
        CHECK_EQUAL("one" + outputOf("t1") + "two", setup.engine_.bodyOf(id));
        CHECK(isWhole(setup.send(1, "t3", id, "three")));
        CHECK_EQUAL("one" + outputOf("t1") + "two" + outputOf(id) + "three", setup.engine_.bodyOf("t3"));
    }
};

REGISTER_SUITE(KeptTurns);
