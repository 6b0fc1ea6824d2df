// The first runner of a new software version crashes soon after it has come, and clients take their streams
// up at other entry VMs. Looks for streams with events of two versions.

#include "Client.h"
#include "Recorder.h"
#include "SmallFleet.h"

#include <fmt/format.h>
#include <iostream>
#include <mutex>
#include <random>
#include <set>

using namespace fescue;
using namespace fescue::review;

namespace {

constexpr const char* config = R"({"version":7,"routes":[
{"name":"renew-draft","host":"h.example","path-prefix":"/draft/","type":"streaming","timeout-ms":4000,
 "target-latency-ms":250,"target-gap-ms":400,"service":"agent-llm","max-attempts":1,"priority":1,"sticky":true,
 "resumable":true}],
"services":[{"name":"agent-llm","engine":{"slots":12,"tokens-per-event":22,"kv-capacity":378489}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

constexpr int vms = 6;
constexpr int runners = 18;
constexpr int clients = 200;
constexpr int events = 12;
constexpr int eventGapMs = 80;
constexpr int releases = 6;
constexpr int newRunners = 3; ///< Of 21, which is under the share of 0.15 that may crash.
// A stream may be taken up for ten seconds, so that each release begins after that time.
constexpr int betweenReleasesMs = 13400;
constexpr int lifeOfNewRunnersMs = 350;
constexpr int lapseMs = 3600; ///< Three heartbeats.

void sendEvents(Runner& runner, const RunnerRequest& request, const std::string& version, int number)
{
    if (*request.isGone_)
        return;
    if (number > events)
        return request.link_->send("0\r\n\r\n");
    request.link_->send(toChunk(fmt::format("id: {}\ndata: {} {}\n\n", number, runner.instance(), version)));
    runner.after(std::chrono::milliseconds(eventGapMs),
        [&runner, request, version, number] { sendEvents(runner, request, version, number + 1); });
}

Runner::Handler streamsOf(const std::string& version, Recorder& recorder)
{
    return [version, &recorder](Runner& runner, const RunnerRequest& request) {
        recorder.write(fmt::format("{} of {} runs {}", runner.instance(), version, request.id_));
        std::string last = headerOf(request, "Last-Event-Id");
        int first = last.empty() ? 1 : std::stoi(last) + 1;
        runner.after(std::chrono::milliseconds(15), [&runner, request, version, first] {
            if (*request.isGone_)
                return;
            request.link_->send(answerHead(
                request, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
            sendEvents(runner, request, version, first);
        });
    };
}

// The versions that have made the whole events of an answer.
std::vector<std::string> versionsOf(const std::string& body)
{
    std::vector<std::string> versions;
    for (std::size_t at = 0; (at = body.find("data: ", at)) != std::string::npos;) {
        std::size_t end = body.find("\n\n", at);
        if (end == std::string::npos)
            break;
        versions.push_back(body.substr(body.rfind(' ', end) + 1, end - body.rfind(' ', end) - 1));
        at = end;
    }
    return versions;
}

struct Ledger {
    std::mutex mutex_;
    int streams_ = 0;
    int takenUp_ = 0;
    int wentOn_ = 0;
    int joined_ = 0;
};

class Client {
public:
    Client(const SmallFleet& fleet, Ledger& ledger, Recorder& recorder, int number)
        : fleet_(fleet)
        , ledger_(ledger)
        , recorder_(recorder)
        , number_(number)
        , random_(static_cast<unsigned>(number))
    {
    }

    void run(const std::atomic<bool>& isOver)
    {
        sleepMs(number_ * 5);
        for (int i = 0; !isOver; ++i) {
            takeStream(fmt::format("c{}-{}", number_, i));
            sleepMs(20);
        }
    }

private:
    ClientAnswer attempt(std::size_t vm, const std::string& id, const std::string& extra)
    {
        recorder_.write(fmt::format("{} is sent to VM {}", id, vm + 1));
        ClientAnswer answer = sendRequest(fleet_.port(vm), "POST", "/draft/1",
            fmt::format(
                "Fescuewinch-Request-Id: {}\r\nFescuewinch-Deadline-Ms: 4000\r\nFescuewinch-Model: m\r\n"
                "Fescuewinch-Token-Count: 1680,308\r\n{}",
                id, extra),
            "prompt");
        recorder_.write(fmt::format(
            "{} is answered {}, {}", id, answer.status_, answer.isComplete_ ? "whole" : "broken"));
        return answer;
    }

    void takeStream(const std::string& id)
    {
        std::size_t vm = random_() % vms;
        ClientAnswer first = attempt(vm, id, "");
        std::vector<std::string> versions = versionsOf(first.body_);
        std::set<std::string> all(versions.begin(), versions.end());
        bool isTakenUp = !first.isComplete_ && !versions.empty();
        bool goesOn = false;
        if (isTakenUp) {
            // A retry reaches another node.
            std::size_t other = (vm + 1 + random_() % (vms - 1)) % vms;
            ClientAnswer next = attempt(other, id + "-again",
                fmt::format("Resumes: {}\r\nLast-Event-Id: {}\r\n", id, versions.size()));
            std::vector<std::string> more = versionsOf(next.body_);
            goesOn = !more.empty();
            all.insert(more.begin(), more.end());
            recorder_.write(
                fmt::format("{} broke off at VM {} after {} events of {}, taken up at VM {}: {} {}", id,
                    vm + 1, versions.size(), versions.front(), other + 1, next.status_,
                    more.empty() ? "" : more.front()));
        }
        std::lock_guard<std::mutex> lock(ledger_.mutex_);
        ++ledger_.streams_;
        ledger_.takenUp_ += isTakenUp ? 1 : 0;
        ledger_.wentOn_ += goesOn ? 1 : 0;
        if (all.size() < 2)
            return;
        ++ledger_.joined_;
        recorder_.write(fmt::format("ORDER: {} has events of {} and {}", id, *all.begin(), *all.rbegin()));
    }

    const SmallFleet& fleet_;
    Ledger& ledger_;
    Recorder& recorder_;
    int number_;
    std::mt19937 random_;
};

// Some runners of the next version come; they crash, or leave in order.
void release(SmallFleet& fleet, Recorder& recorder, int number)
{
    std::vector<std::pair<std::string, Runner*>> added;
    for (int i = 0; i < newRunners; ++i) {
        std::string instance = fmt::format("i-new-{}-{}", number, i);
        Runner& runner = fleet.addRunner({ instance, "agent-llm", "zone-a", fmt::format("v{}", number) },
            streamsOf(fmt::format("v{}", number), recorder));
        added.emplace_back(instance, &runner);
    }
    recorder.write(fmt::format("runners of v{} are in the store", number));
    sleepMs(lifeOfNewRunnersMs);
    fleet.run([&] {
        for (auto& [instance, runner] : added) {
            if (isCalm()) {
                fleet.announce(instance, [](RunnerEntry& entry) { entry.state_ = "draining"; });
                continue;
            }
            runner->crash();
            fleet.silence(instance);
        }
    });
    recorder.write(fmt::format("runners of v{} {}", number, isCalm() ? "leave" : "have crashed"));
    sleepMs(lapseMs);
    fleet.run([&] {
        for (const auto& [instance, runner] : added)
            fleet.withdraw(instance);
    });
    sleepMs(betweenReleasesMs - lapseMs - lifeOfNewRunnersMs);
}

int runCase(const std::string& recordFile)
{
    Recorder recorder(recordFile);
    Ledger ledger;
    SmallFleet fleet(config, std::vector<std::string>(vms, "zone-a"));
    for (int number = 0; number < runners; ++number)
        fleet.addRunner({ fmt::format("i-{}", number), "agent-llm", "zone-a" }, streamsOf("v1", recorder));
    fleet.start();
    std::atomic<bool> isOver { false };
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int number = 0; number < clients; ++number)
        threads.emplace_back([&, number] { Client(fleet, ledger, recorder, number).run(isOver); });
    sleepMs(10500);
    for (int number = 2; number < 2 + releases; ++number)
        release(fleet, recorder, number);
    isOver = true;
    for (std::thread& thread : threads)
        thread.join();
    std::string summary = fmt::format("{} streams, {} taken up, {} went on, {} with events of two versions",
        ledger.streams_, ledger.takenUp_, ledger.wentOn_, ledger.joined_);
    recorder.write(summary);
    std::cout << summary << "\n";
    return ledger.joined_ > 2 ? 1 : 0;
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
