// Guards against a service or an engine whose bytes never end, in a head or a body: the scheduler's memory
// must not grow.

#include "BootClock.h"
#include "EndlessBytes.h"
#include "EntryVmHarness.h"
#include "History.h"
#include "Suite.h"

#include <fmt/format.h>
#include <fstream>
#include <future>
#include <unistd.h>

using namespace fescue;
using namespace fescue::test;
using nlohmann::json;

namespace {

// A request may be 8 MB, and so may an answer. An endless one would be gigabytes at its timeout.
constexpr ByteCount maxGrowth { 64 << 20 };
// Well before the timeout of a call, 10 s.
constexpr Milliseconds promptly { 5000 };

// What a server sends after it has got a request: `start_` once, then `endless_` again and again.
struct Endless {
    std::string start_;
    std::string endless_;
};

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string chunkedJson = ok + "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string chunkedEvents
    = ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

// Header lines of different names, which are all kept.
std::string manyHeaders()
{
    std::string lines;
    for (int i = 0; i < 2000; ++i)
        lines += fmt::format("X-{}: {}\r\n", i, std::string(100, 'x'));
    return lines;
}

const std::vector<Endless> endlessAnswers { { chunkedJson, toChunk(blockOf("x")) },
    { ok + "Content-Length: 4000000000\r\n\r\n", blockOf("x") }, { ok + "\r\n", blockOf("x") },
    { ok, blockOf("x") }, { ok, manyHeaders() }, { "", blockOf("HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\n") },
    { chunkedJson + "0\r\n", manyHeaders() } };

const std::vector<Endless> endlessStreams { { chunkedEvents, toChunk(blockOf("data: x")) },
    { chunkedEvents, toChunk(blockOf(": comment\n\n")) },
    { chunkedEvents, toChunk(blockOf("data: {\"choices\": [{\"delta\": {}}]}\n\n")) } };

// A server whose answers have no end.
class EndlessServer {
public:
    EndlessServer()
        : target_(io_, [this](const HttpHead& request, const std::string&) { return respond(request); })
        , thread_([this] { run(); })
    {
    }

    ~EndlessServer()
    {
        isStopped_ = true;
        thread_.join();
    }

    json target() const
    {
        return { { "id", fmt::format("endless-{}", target_.port()) },
            { "url", fmt::format("http://127.0.0.1:{}", target_.port()) } };
    }

    void set(const Endless& answer)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        answer_ = answer;
    }

    int runs() const { return runs_; }

private:
    TargetAction respond(const HttpHead& request)
    {
        if (request.method_ != "POST") // A poll of an engine's load.
            return { "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n" };
        std::lock_guard<std::mutex> lock(mutex_);
        if (!answer_)
            return { chunkedJson + toChunk("{}") + "0\r\n\r\n" };
        ++runs_;
        TargetAction action { answer_->start_ };
        action.endless_ = answer_->endless_;
        return action;
    }

    void run()
    {
        while (!isStopped_) {
            io_.run_for(std::chrono::milliseconds(2));
            io_.restart();
            target_.sendEndless();
        }
    }

    asio::io_context io_;
    std::mutex mutex_;
    std::optional<Endless> answer_;
    std::atomic<bool> isStopped_ { false };
    std::atomic<int> runs_ { 0 };
    ScriptedTarget target_;
    std::thread thread_;
};

ByteCount residentMemory(const Process& process)
{
    std::ifstream file(fmt::format("/proc/{}/statm", process.id()));
    std::int64_t size = 0;
    std::int64_t resident = 0;
    file >> size >> resident;
    return { resident * ::sysconf(_SC_PAGESIZE) };
}

} // namespace

class EndlessServiceAnswers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EndlessServiceAnswers);
    CPPUNIT_TEST(endlessAnswerOfAServiceIsCutOff);
    CPPUNIT_TEST(endlessStreamOfAnEngineIsCutOff);
    CPPUNIT_TEST_SUITE_END();

    // Performs `call` until the server has run it once, and checks the scheduler meanwhile.
    template <typename Call>
    static void checkBounded(Cluster& cluster, const EndlessServer& server, const Call& call)
    {
        const Process& scheduler = *cluster.entries_[0].scheduler_;
        ByteCount before = residentMemory(scheduler);
        int runs = server.runs();
        MonotonicTime from = bootNow();
        auto caller = std::async(std::launch::async, [&] {
            waitUntil("the server has run the call", [&] {
                call();
                return server.runs() > runs;
            });
        });
        ByteCount most = before;
        while (caller.wait_for(std::chrono::milliseconds(5)) != std::future_status::ready)
            most = std::max(most, residentMemory(scheduler));
        caller.get();
        CHECK(most < before + maxGrowth);
        CHECK(bootNow() - from < promptly);
    }

public:
    void endlessAnswerOfAServiceIsCutOff()
    {
        for (const Endless& answer : endlessAnswers) {
            Cluster cluster;
            EndlessServer server;
            cluster.publish({ { "pools/lease-app",
                { { "zone", "zone-a" }, { "service", "lease-app" },
                    { "targets", json::array({ server.target() }) } } } });
            std::string program = cluster.createProgram(0);
            int number = 0;
            waitUntil("the target is in force", [&] {
                return cluster.serviceCall(0, program, ++number, "/payouts", "{}").http_.body_ == "{}";
            });
            server.set(answer);
            checkBounded(cluster, server, [&] {
                Answer result = cluster.serviceCall(0, program, ++number, "/payouts", "{}");
                CHECK_EQUAL(std::string("outcome-unknown"), problemOf(result.http_));
            });
        }
    }

    void endlessStreamOfAnEngineIsCutOff()
    {
        for (const Endless& answer : endlessStreams) {
            Cluster cluster;
            EndlessServer server;
            server.set(answer);
            cluster.publish({ { "pools/engine-0",
                { { "zone", "zone-a" }, { "models", { "agent-llm" } },
                    { "targets",
                        json::array({ server.target(),
                            { { "id", "engine-0" },
                                { "url", cluster.url(*cluster.engines_[0]) } } }) } } } });
            std::string program = cluster.createProgram(0);
            int number = 0;
            checkBounded(cluster, server, [&] {
                ++number;
                cluster.modelCall(0, program, number, conversation({ std::to_string(number) }));
            });
        }
    }
};

REGISTER_SUITE(EndlessServiceAnswers);
