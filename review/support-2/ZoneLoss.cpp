// All VMs of a zone are killed at once; clients take up at another zone the streams that began there.

#include "CaseKit.h"
#include "Cases.h"
#include "Streams.h"

#include <csignal>
#include <fmt/format.h>

namespace review {

namespace {

    constexpr const char* config = R"({"version":7,"routes":[
{"name":"turns","host":"h.example","path-prefix":"/turn/","type":"streaming","timeout-ms":3000,
 "target-latency-ms":250,"priority":0,"service":"llm","max-attempts":1,"resumable":true,"target-gap-ms":300}],
"services":[{"name":"llm","health-path":"/healthz","max-conns":150,"protocol":"h1","tls":false,
 "engine":{"slots":12,"tokens-per-event":33}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

    constexpr std::size_t vmsOfZone = 3;
    constexpr int streamCount = 24;
    constexpr int settleMs = 4000; // Over `stable-window-ms`.
    constexpr int killAfterMs = 450;
    constexpr int retryMs = 200;
    constexpr int minStreams = 12;

    ClientRequest newStream(const std::string& id)
    {
        ClientRequest request;
        request.path_ = "/turn/1";
        request.id_ = id;
        request.body_ = "prompt of " + id;
        request.headers_ = { "Fescuewinch-Token-Count: 100,396" };
        request.deadlineMs_ = 2500;
        return request;
    }

    struct Counts {
        std::atomic<int> takenUp_ { 0 };
        std::atomic<int> gone_ { 0 }; ///< Of those, on to their end.
        std::atomic<int> fresh_ { 0 };
        std::atomic<int> begun_ { 0 };
    };

    // A client of the first zone, whose stream breaks off unless the zone lives on.
    void playClient(World& world, int number, Counts& counts)
    {
        ClientRequest request = newStream(fmt::format("first-{}", number));
        auto index = static_cast<std::size_t>(number) % vmsOfZone;
        // Without the disruption the client's channel breaks.
        if (!hasTrouble())
            request.breakMs_ = killAfterMs;
        std::string events = wholeEvents(attempt(world.vm(index).port(), request).body_);
        record(fmt::format(
            "{} at {}: up to event {}", request.id_, world.vm(index).name(), lastEventOf(events)));
        if (events.empty() || isWholeStream(events))
            return;
        sleepMs(retryMs);
        request.headers_.push_back("Resumes: " + request.id_);
        request.headers_.push_back("Last-Event-Id: " + lastEventOf(events));
        request.id_ = fmt::format("next-{}", number);
        request.breakMs_ = 0;
        Vm& other = world.vm(vmsOfZone + index);
        Attempt resumed = attempt(other.port(), request);
        ++counts.takenUp_;
        counts.gone_ += resumed.status_ == 200 && isWholeStream(resumed.body_) ? 1 : 0;
        record(fmt::format("{} at {}: {}, up to event {}", request.id_, other.name(), resumed.status_,
            lastEventOf(resumed.body_)));
    }

} // namespace

int zoneLoss()
{
    World world(config);
    for (const char* version : { "v1", "v2" }) {
        for (int i = 0; i < 2; ++i) {
            RunnerEntry entry { fmt::format("i-llm-{}-{}", version, i), "llm", version, "z2" };
            entry.slots_ = 24;
            world.addRunner(entry, runStream);
        }
    }
    for (const char* zone : { "z1", "z2" }) {
        VmOptions options;
        options.zone_ = zone;
        for (std::size_t i = 0; i < vmsOfZone; ++i)
            world.addVm(options);
    }
    world.awaitReady();
    sleepMs(settleMs);
    Counts counts;
    std::vector<std::thread> clients;
    clients.reserve(2 * streamCount);
    for (int i = 0; i < streamCount; ++i)
        clients.emplace_back([&world, &counts, i] { playClient(world, i, counts); });
    sleepMs(killAfterMs);
    if (hasTrouble()) {
        for (std::size_t i = 0; i < vmsOfZone; ++i)
            world.vm(i).signal(SIGKILL);
        record("all VMs of zone z1 are killed");
    }
    for (int i = 0; i < streamCount; ++i) {
        clients.emplace_back([&world, &counts, i] {
            Vm& vm = world.vm(vmsOfZone + static_cast<std::size_t>(i) % vmsOfZone);
            ClientRequest request = newStream(fmt::format("fresh-{}", i));
            Attempt result = attempt(vm.port(), request);
            ++counts.fresh_;
            counts.begun_ += result.status_ == 200 && isWholeStream(result.body_) ? 1 : 0;
            record(fmt::format("{} at {}: {}", request.id_, vm.name(), result.status_));
        });
    }
    for (std::thread& client : clients)
        client.join();
    record(fmt::format("{} of {} streams that were taken up go on; {} of {} new streams are served",
        counts.gone_.load(), counts.takenUp_.load(), counts.begun_.load(), counts.fresh_.load()));
    // The share that goes on is under half of the share of new streams that begin.
    bool isUnderHalf = 2 * counts.gone_ * counts.fresh_ < counts.begun_ * counts.takenUp_;
    return counts.takenUp_ >= minStreams && isUnderHalf ? broken : held;
}

} // namespace review
