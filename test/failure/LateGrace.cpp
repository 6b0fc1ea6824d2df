// Guards against a request that a VM takes during its planned stop, or had before, and that then ends without
// an answer.

#include "BootClock.h"
#include "EntryVmHarness.h"
#include "Suite.h"

#include <csignal>
#include <fmt/format.h>
#include <future>
#include <map>

using namespace fescue;
using namespace fescue::test;

namespace {

const std::string eventStream = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

void sleepFor(Milliseconds time) { std::this_thread::sleep_for(time); }

// What a caller received for one request.
struct Received {
    std::string id_;
    std::string bytes_;
    bool wasReset_ = false;

    int status() const { return statusOf(bytes_); }
    bool isPromise() const
    {
        int code = status();
        return code == 408 || code == 421 || code == 429 || code == 503;
    }
    bool isComplete() const
    {
        std::size_t head = bytes_.find("\r\n\r\n");
        if (head == std::string::npos)
            return false;
        std::size_t length = bytes_.find("Content-Length: ");
        if (length < head)
            return bytes_.size() - head - 4 == std::stoul(bytes_.substr(length + 16));
        return bytes_.size() > 7 && bytes_.substr(bytes_.size() - 7) == "\r\n0\r\n\r\n";
    }
};

// Targets that answer by the path of a request, and count its runs.
class Targets {
public:
    ScriptedTarget::Script script()
    {
        return [this](const HttpHead& request, const std::string&) {
            std::lock_guard<std::mutex> lock(mutex_);
            ++runs_[*findHeader(request, "Fescuewinch-Request-Id")];
            return respond(request);
        };
    }

    int runsOf(const std::string& id) const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = runs_.find(id);
        return found == runs_.end() ? 0 : found->second;
    }

private:
    static TargetAction respond(const HttpHead& request)
    {
        const std::string& path = request.target_;
        std::string event = toChunk("id: 1\ndata: a\n\n");
        if (path.find("never") != std::string::npos)
            return {};
        if (path.find("begun") != std::string::npos)
            return { stampedHead(request, eventStream) + event };
        bool isStream = path.rfind("/read/", 0) != 0 && path.rfind("/call/", 0) != 0;
        return { isStream ? stampedHead(request, eventStream) + event + "0\r\n\r\n"
                          : stampedResponse(request, "done") };
    }

    mutable std::mutex mutex_;
    std::map<std::string, int> runs_;
};

// A request with its head and body; a connection that carried an earlier one may be kept for it.
struct Request {
    std::string line_; ///< Method and path.
    std::string id_;
    std::string headers_;
    Milliseconds bodyDelay_ { 0 };

    std::string head() const
    {
        return fmt::format("{} HTTP/1.1\r\nHost: h.example\r\nFescuewinch-Request-Id: {}\r\n{}"
                           "Content-Length: 6\r\n\r\n",
            line_, id_, headers_);
    }
};

std::shared_ptr<RawConnection> keptConnection(const EntryVmHarness& vms)
{
    auto connection = std::make_shared<RawConnection>(vms.port());
    connection->send("GET /read/first HTTP/1.1\r\nHost: h.example\r\nFescuewinch-Request-Id: first\r\n\r\n");
    connection->readUntil("\r\n\r\ndone");
    return connection;
}

// Sends a request at a time and reads until the connection ends, which it does after an answer of a VM that
// stops.
std::future<Received> sendAt(
    MonotonicTime at, std::shared_ptr<RawConnection> connection, const Request& request)
{
    return std::async(std::launch::async, [at, connection = std::move(connection), request] {
        sleepFor(std::max(Milliseconds { 0 }, at - bootNow()));
        connection->send(request.head());
        sleepFor(request.bodyDelay_);
        connection->send("prompt");
        Received received { request.id_, connection->readAll(), false };
        received.wasReset_ = connection->wasReset();
        return received;
    });
}

std::string deadline(int ms) { return fmt::format("Fescuewinch-Deadline-Ms: {}\r\n", ms); }

std::string describe(const Received& received, int runs)
{
    return fmt::format("{}: {} runs, {}: {}", received.id_, runs, received.wasReset_ ? "reset" : "closed",
        received.bytes_.substr(0, received.bytes_.find('\r')));
}

// Checks that a request got a complete answer, and did not run if the answer says so.
void checkAnswered(const Received& received, const Targets& targets)
{
    int runs = targets.runsOf(received.id_);
    std::string what = describe(received, runs);
    CPPUNIT_ASSERT_MESSAGE(what, received.isComplete());
    CPPUNIT_ASSERT_MESSAGE(what, !received.isPromise() || runs == 0);
    CPPUNIT_ASSERT_MESSAGE(what, received.id_.find("call") == std::string::npos || runs <= 1);
}

// Puts the routes of the harness into force with other time limits.
void setRouteTimeouts(EntryVmHarness& vms, int ms)
{
    std::string config;
    vms.runOnStore([&](standin::PlatformStore& store) {
        config = store.newest("keyed.op").at("config");
        for (const char* before :
            { "\"timeout-ms\":3000,", "\"timeout-ms\":2000,", "\"timeout-ms\":1500," }) {
            for (std::size_t at = config.find(before); at != std::string::npos; at = config.find(before))
                config.replace(at, std::string(before).size(), fmt::format("\"timeout-ms\":{},", ms));
        }
        config.replace(config.find("\"version\":5"), 11, "\"version\":6");
        store.put("keyed.op", "config", config);
    });
    sleepFor(Milliseconds { 500 });
}

// Requests of all kinds; `number` selects one.
Request requestOfKind(int number)
{
    std::string id = std::to_string(number);
    switch (number % 9) {
    case 0:
        return { "GET /read/quick" + id, "read" + id, "" };
    case 1:
        return { "GET /read/quick" + id, "read" + id, deadline(1200) };
    case 2:
        return { "POST /call/quick" + id, "call" + id, deadline(1200) };
    case 3:
        return { "POST /call/never" + id, "call" + id, deadline(600) };
    case 4:
        return { "POST /call/never" + id, "call" + id, "" };
    case 5:
        return { "POST /turn/never" + id, "turn" + id, deadline(800) };
    case 6:
        return { "POST /turn/quick" + id, "turn" + id, "Resumes: gone\r\nLast-Event-Id: 1\r\n" };
    case 7:
        return { "POST /kept/quick" + id, "kept" + id, deadline(900) + programHeaders("p" + id, "90000") };
    default:
        return { "POST /call/quick" + id, "call" + id, deadline(1000), Milliseconds { 400 } };
    }
}

constexpr Milliseconds grace { 6000 };

} // namespace

class LateGrace : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LateGrace);
    CPPUNIT_TEST(requestsOverTheWholeGraceAreAnswered);
    CPPUNIT_TEST(requestsThatOutlastTheGraceAreAnsweredAtItsEnd);
    CPPUNIT_TEST(requestsAreAnsweredWhenTheGraceBecomesShorter);
    CPPUNIT_TEST(requestsThatWaitForTheStoreAreAnswered);
    CPPUNIT_TEST(requestWhoseBodyArrivesSlowlyIsServed);
    CPPUNIT_TEST(requestsThroughAStoppingVmAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestsOverTheWholeGraceAreAnswered()
    {
        Targets targets;
        EntryVmHarness vms({ targets.script(), targets.script() });
        constexpr int count = 85;
        constexpr Milliseconds gap { 60 };
        std::vector<std::shared_ptr<RawConnection>> connections(count);
        std::generate(connections.begin(), connections.end(), [&] { return keptConnection(vms); });
        MonotonicTime begin = bootNow();
        vms.process().signal(SIGTERM);
        std::vector<std::future<Received>> received;
        received.reserve(count);
        for (int i = 0; i < count; ++i)
            received.push_back(sendAt(begin + gap * i, connections[i], requestOfKind(i)));
        sleepFor(Milliseconds { 1000 });
        vms.process().signal(SIGTERM);
        auto end = std::async(std::launch::async, [&] {
            vms.waitUntil("the VM has ended", [&] { return vms.process().tryReap(); });
            return bootNow();
        });
        int served = 0;
        for (auto& each : received) {
            Received answer = each.get();
            checkAnswered(answer, targets);
            served += answer.status() == 200 ? 1 : 0;
        }
        CHECK(end.get() < begin + grace);
        CHECK(served > count / 4);
    }

    void requestsThatOutlastTheGraceAreAnsweredAtItsEnd()
    {
        Targets targets;
        EntryVmHarness vms({ targets.script() });
        setRouteTimeouts(vms, 20000);
        std::vector<std::future<Received>> received;
        constexpr int count = 30; // More than the target has slots.
        received.reserve(count + 2);
        for (int i = 0; i < count; ++i)
            received.push_back(sendAt(bootNow(), keptConnection(vms),
                { fmt::format("POST /call/never{}", i), fmt::format("call{}", i), "" }));
        auto begun = sendAt(bootNow(), keptConnection(vms), { "POST /turn/begun", "begun", "" });
        for (const char* id : { "budget1", "budget2" })
            received.push_back(sendAt(
                bootNow(), keptConnection(vms), { "POST /turn/never", id, programHeaders("budget", "300") }));
        sleepFor(Milliseconds { 500 });
        MonotonicTime begin = bootNow();
        vms.process().signal(SIGTERM);
        for (auto& each : received) {
            Received answer = each.get();
            checkAnswered(answer, targets);
            CHECK_EQUAL(targets.runsOf(answer.id_) > 0 ? 504 : 503, answer.status());
        }
        Received stream = begun.get();
        CHECK(!stream.isComplete() && stream.wasReset_);
        vms.waitUntil("the VM has ended", [&] { return vms.process().tryReap(); });
        CHECK(bootNow() < begin + grace);
    }

    void requestsAreAnsweredWhenTheGraceBecomesShorter()
    {
        Targets targets;
        EntryVmHarness vms({ targets.script() });
        auto connection = keptConnection(vms);
        auto late = keptConnection(vms);
        auto received = sendAt(bootNow(), connection, { "POST /call/never", "call1", "" });
        sleepFor(Milliseconds { 200 });
        vms.process().signal(SIGTERM);
        sleepFor(Milliseconds { 200 });
        vms.setGrace(0, 1);
        vms.process().signal(SIGHUP);
        sleepFor(Milliseconds { 50 });
        auto refused = sendAt(bootNow(), late, { "POST /call/quick", "call2", "" });
        for (const Received& answer : { received.get(), refused.get() })
            checkAnswered(answer, targets);
        vms.waitUntil("the VM has ended", [&] { return vms.process().tryReap(); });
    }

    void requestsThatWaitForTheStoreAreAnswered()
    {
        Targets targets;
        EntryVmHarness vms({ targets.script() });
        std::vector<std::shared_ptr<RawConnection>> connections(4);
        std::generate(connections.begin(), connections.end(), [&] { return keptConnection(vms); });
        MonotonicTime begin = bootNow();
        vms.process().signal(SIGTERM);
        sleepFor(Milliseconds { 2300 });
        vms.runOnStore([](standin::PlatformStore& store) { store.faults().isSilent_ = true; });
        std::vector<std::future<Received>> received;
        std::string resumes = "Resumes: gone\r\nLast-Event-Id: 1\r\n";
        std::string continues = "Fescuewinch-Previous-Turn: gone\r\n";
        received.push_back(sendAt(begin + Milliseconds { 2350 }, connections[0],
            { "POST /turn/quick1", "turn1", resumes + deadline(2500) }));
        received.push_back(sendAt(begin + Milliseconds { 2400 }, connections[1],
            { "POST /kept/quick2", "kept2", continues + deadline(2500) }));
        received.push_back(sendAt(begin + Milliseconds { 2450 }, connections[2],
            { "POST /again/quick3", "again3", continues + resumes + deadline(2500) }));
        received.push_back(sendAt(begin + Milliseconds { 2500 }, connections[3],
            { "POST /turn/quick4", "turn4", resumes + deadline(2500) }));
        for (auto& each : received)
            checkAnswered(each.get(), targets);
    }

    void requestWhoseBodyArrivesSlowlyIsServed()
    {
        Targets targets;
        EntryVmHarness vms({ targets.script() });
        auto connection = keptConnection(vms);
        MonotonicTime begin = bootNow();
        vms.process().signal(SIGTERM);
        Received answer = sendAt(begin + Milliseconds { 2200 }, connection,
            { "POST /call/quick", "call1", "",
                Milliseconds {
                    1100 } }).get();
        checkAnswered(answer, targets);
        CHECK_EQUAL(200, answer.status());
    }

    void requestsThroughAStoppingVmAreAnswered()
    {
        Targets targets;
        EntryVmHarness vms({ targets.script(), targets.script() }, true, 2);
        vms.setLinks(0, EntryVmHarness::LinkFault::Refused);
        sleepFor(Milliseconds { 1000 });
        constexpr int count = 60;
        constexpr Milliseconds gap { 90 };
        MonotonicTime begin = bootNow();
        vms.process(1).signal(SIGTERM);
        std::vector<std::future<Received>> received;
        for (int i = 0; i < count; ++i) {
            Request request = requestOfKind(i);
            request.headers_ += "Connection: close\r\n";
            received.push_back(
                sendAt(begin + gap * i, std::make_shared<RawConnection>(vms.port(0)), request));
        }
        for (auto& each : received)
            checkAnswered(each.get(), targets);
    }
};

REGISTER_SUITE(LateGrace);
