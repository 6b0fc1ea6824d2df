// A server in trouble answers turns of conversations with a failure whose body has no end. The platform kills
// a process whose memory exceeds the machine's limit, and starts it again. Counts these ends.

#include "Client.h"
#include "Recorder.h"
#include "SmallFleet.h"

#include <array>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace fescue;
using namespace fescue::review;

namespace {

constexpr const char* config = R"({"version":7,"routes":[
{"name":"matter-query","host":"h.example","path-prefix":"/matter/","type":"streaming","timeout-ms":4000,
 "target-latency-ms":200,"target-gap-ms":300,"service":"thread-reader","max-attempts":2,"priority":1,"sticky":true,
 "retained":true,"retention-s":60.0}],
"services":[{"name":"thread-reader","engine":{"slots":32,"tokens-per-event":19,"kv-capacity":783000}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

constexpr int vms = 2;
constexpr int soundRunners = 2;
constexpr int clients = 24;
constexpr int events = 13;
constexpr int eventGapMs = 40;
constexpr int testSeconds = 40;
constexpr int memoryMb = 130; ///< `memory_mb` of the site's machines.
constexpr int restartMs = 800;
constexpr int endsThatCount = 3; ///< Of a machine, by the rule.

using EndCounts = std::array<std::atomic<int>, vms>;

void sendEvents(Runner& runner, const RunnerRequest& request, int number)
{
    if (*request.isGone_)
        return;
    if (number > events)
        return request.link_->send("0\r\n\r\n");
    request.link_->send(toChunk(fmt::format("id: {}\ndata: {} {}\n\n", number, request.id_, number)));
    runner.after(std::chrono::milliseconds(eventGapMs),
        [&runner, request, number] { sendEvents(runner, request, number + 1); });
}

void answerWell(Runner& runner, const RunnerRequest& request)
{
    request.link_->send(
        answerHead(request, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    sendEvents(runner, request, 1);
}

// Sends as fast as the other side reads, until it closes the channel.
void sendEndless(Runner& runner, const RunnerRequest& request)
{
    constexpr std::size_t pieceBytes = 256 * 1024;
    if (*request.isGone_)
        return;
    if (request.link_->queuedBytes() < pieceBytes)
        request.link_->send(std::string(pieceBytes, 'x'));
    runner.after(std::chrono::milliseconds(2), [&runner, request] { sendEndless(runner, request); });
}

void answerWithoutEnd(Runner& runner, const RunnerRequest& request)
{
    request.link_->send("HTTP/1.1 500 Internal Server Error\r\nFescuewinch-Request-Id: " + request.id_
        + "\r\nContent-Type: text/plain\r\n\r\n");
    sendEndless(runner, request);
}

long residentMb(pid_t id)
{
    std::ifstream file("/proc/" + std::to_string(id) + "/statm");
    long size = 0;
    long resident = 0;
    file >> size >> resident;
    constexpr long bytesPerMb = 1024 * 1024;
    return resident * ::sysconf(_SC_PAGESIZE) / bytesPerMb;
}

// What the platform does with a machine: kills the process when its memory exceeds the limit, and starts a
// process that has ended again.
void superviseVms(SmallFleet& fleet, Recorder& recorder, EndCounts& ends)
{
    while (recorder.secondsSinceStart() < testSeconds) {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            long memory = residentMb(fleet.process(vm).id());
            if (memory <= memoryMb)
                continue;
            int count = ++ends[vm];
            recorder.write(fmt::format(
                "VM {} uses {} MB of {} MB and is killed, time {}", vm + 1, memory, memoryMb, count));
            fleet.killAndRestart(vm, restartMs);
            recorder.write(fmt::format("VM {} is ready again", vm + 1));
        }
        sleepMs(4);
    }
}

void takeTurns(const SmallFleet& fleet, Recorder& recorder, int client)
{
    for (int i = 0; recorder.secondsSinceStart() < testSeconds; ++i) {
        std::string id = fmt::format("c{}-{}", client, i);
        ClientAnswer answer
            = sendRequest(fleet.port(static_cast<std::size_t>(client + i) % vms), "POST", "/matter/1",
                fmt::format("Fescuewinch-Request-Id: {}\r\nFescuewinch-Program-Id: p{}\r\n"
                            "Fescuewinch-Session-Id: s{}\r\nFescuewinch-Program-Deadline-Ms: 9000\r\n"
                            "Fescuewinch-Token-Budget: 4000\r\nFescuewinch-Token-Count: 1680,304\r\n"
                            "Fescuewinch-Model: m\r\nFescuewinch-Deadline-Ms: 4000\r\n",
                    id, id, id),
                "prompt of " + id);
        recorder.write(fmt::format("{} is answered {}, {}, {} bytes", id, answer.status_,
            answer.isComplete_ ? "whole" : "broken", answer.body_.size()));
        sleepMs(answer.isComplete_ ? 50 : 300);
    }
}

int runCase(const std::string& recordFile)
{
    SmallFleet fleet(config, std::vector<std::string>(vms, "zone-a"));
    for (int number = 0; number < soundRunners; ++number)
        fleet.addRunner({ fmt::format("i-{}", number), "thread-reader", "zone-a", "v1", 0, 32 }, answerWell);
    fleet.addRunner(
        { "i-trouble", "thread-reader", "zone-a", "v1", 0, 32 }, isCalm() ? answerWell : answerWithoutEnd);
    fleet.start();
    Recorder recorder(recordFile);
    EndCounts ends {};
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int client = 0; client < clients; ++client)
        threads.emplace_back([&, client] { takeTurns(fleet, recorder, client); });
    superviseVms(fleet, recorder, ends);
    for (std::thread& thread : threads)
        thread.join();
    int machines = 0;
    std::string summary = "ends over the memory limit:";
    for (std::size_t vm = 0; vm < vms; ++vm) {
        machines += ends[vm] >= endsThatCount ? 1 : 0;
        summary += fmt::format(" VM {}: {}", vm + 1, ends[vm].load());
    }
    recorder.write(summary);
    std::cout << summary << "\n";
    return machines >= 2 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return 2;
    try {
        return runCase(argv[1]);
    } catch (const std::exception& error) {
        std::cerr << "the case could not run: " << error.what() << "\n";
        return 2;
    }
}
