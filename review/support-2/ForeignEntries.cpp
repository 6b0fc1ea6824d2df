// Another writer writes entries of runners without some fields; streams are taken up meanwhile.

#include "CaseKit.h"
#include "Cases.h"
#include "Streams.h"

#include <fmt/format.h>

namespace review {

namespace {

    constexpr const char* config = R"({"version":7,"routes":[
{"name":"turns","host":"h.example","path-prefix":"/turn/","type":"streaming","timeout-ms":3000,
 "target-latency-ms":250,"priority":0,"service":"llm","max-attempts":1,"resumable":true,"target-gap-ms":300}],
"services":[{"name":"llm","health-path":"/healthz","max-conns":150,"protocol":"h1","tls":false,
 "engine":{"slots":12,"tokens-per-event":33}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

    constexpr int eventsBeforeBreak = 4;
    constexpr std::size_t vmCount = 3;
    constexpr int streamCount = 90;
    constexpr int streamIntervalMs = 70;
    constexpr int foreignIntervalMs = 200;
    constexpr std::size_t allowedMixes = 2;

    // Plays a client whose channel breaks in mid-stream, and which takes the stream up at another VM.
    std::string playClient(World& world, int number)
    {
        ClientRequest request;
        request.path_ = "/turn/1";
        request.id_ = fmt::format("first-{}", number);
        request.body_ = fmt::format("prompt {}", number);
        request.headers_ = { "Fescuewinch-Token-Count: 100,396" };
        // The channel breaks between the fourth and the fifth event.
        request.deadlineMs_ = 2500;
        request.breakMs_ = eventsBeforeBreak * eventGapMs - eventGapMs / 2;
        Vm& first = world.vm(static_cast<std::size_t>(number) % vmCount);
        Attempt begun = attempt(first.port(), request);
        std::string events = wholeEvents(begun.body_);
        record(fmt::format(
            "{} at {}: {}, {} bytes of events", request.id_, first.name(), begun.status_, events.size()));
        if (events.empty())
            return {};
        request.headers_.push_back("Resumes: " + request.id_);
        request.headers_.push_back("Last-Event-Id: " + lastEventOf(events));
        request.id_ = fmt::format("next-{}", number);
        request.breakMs_ = 0;
        Vm& second = world.vm(static_cast<std::size_t>(number + 1) % vmCount);
        Attempt resumed = attempt(second.port(), request);
        record(fmt::format("{} at {}: {}, {}", request.id_, second.name(), resumed.status_,
            resumed.isComplete_ ? "complete" : "not complete"));
        return resumed.status_ == 200 ? events + resumed.body_ : events;
    }

} // namespace

int foreignEntries()
{
    World world(config);
    std::vector<Runner*> runners;
    for (const char* version : { "v1", "v2" }) {
        for (int i = 0; i < 2; ++i) {
            RunnerEntry entry { fmt::format("i-llm-{}-{}", version, i), "llm", version };
            entry.slots_ = 12;
            runners.push_back(&world.addRunner(entry, runStream));
        }
    }
    for (std::size_t i = 0; i < vmCount; ++i)
        world.addVm();
    world.awaitReady();
    std::atomic<bool> isStopped { false };
    std::thread writer([&] {
        while (!isStopped && hasTrouble()) {
            world.run([&] {
                for (Runner* runner : runners)
                    world.store().put("keyed.servers", runner->entry().id_,
                        runner->entryValue({ "version", "seq", "born", "slots", "cold-remaining-ms" }));
            });
            sleepMs(foreignIntervalMs);
        }
    });
    if (hasTrouble())
        record("another writer writes entries without version, slots, seq and born");
    sleepMs(2500);
    std::mutex mutex;
    std::size_t mixed = 0;
    std::size_t resumed = 0;
    std::vector<std::thread> clients;
    for (int i = 0; i < streamCount; ++i) {
        sleepMs(streamIntervalMs);
        clients.emplace_back([&, i] {
            std::string events = playClient(world, i);
            std::set<std::string> versions = versionsIn(events);
            std::lock_guard<std::mutex> lock(mutex);
            resumed += isWholeStream(events) ? 1 : 0;
            if (versions.size() < 2)
                return;
            ++mixed;
            std::string line;
            for (char c : events)
                line += c == '\n' ? '|' : c;
            record(fmt::format("the client of first-{} holds events of two versions: {}", i, line));
        });
    }
    for (std::thread& client : clients)
        client.join();
    isStopped = true;
    writer.join();
    record(fmt::format(
        "of {} streams, {} are whole, {} hold events of two versions", streamCount, resumed, mixed));
    return mixed > allowedMixes ? broken : held;
}

} // namespace review
