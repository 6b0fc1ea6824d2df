// An entry VM that grants the turns of programs is killed and starts again. Counts the tokens that the
// clients of each program are handed in all of its turns.

#include "Client.h"
#include "Recorder.h"
#include "SmallFleet.h"

#include <fmt/format.h>
#include <iostream>
#include <mutex>

using namespace fescue;
using namespace fescue::review;

namespace {

constexpr int tokensPerEvent = 19;
constexpr int eventsPerTurn = 14;
constexpr int maxTokens = eventsPerTurn * tokensPerEvent;
constexpr int budget = 6 * maxTokens;
constexpr int parallelTurns = 4;
constexpr int programs = 12;
constexpr int runners = 6;

constexpr const char* config = R"({"version":7,"routes":[
{"name":"matter-query","host":"h.example","path-prefix":"/matter/","type":"streaming","timeout-ms":4000,
 "target-latency-ms":200,"target-gap-ms":300,"service":"thread-reader","max-attempts":2,"priority":1,"sticky":true,
 "retained":true,"retention-s":60.0,"resumable":false}],
"services":[{"name":"thread-reader","engine":{"slots":32,"tokens-per-event":19,"kv-capacity":783000}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

// The answer to a turn: its events, and the times at which they are made.
struct Plan {
    int firstMs_ = 20;
    int gapMs_ = 2;
    int events_ = eventsPerTurn;
};

// The path says what the turn is like; the runner reads it in place of a prompt.
Plan planOf(const RunnerRequest& request)
{
    const std::string& path = request.head_.target_;
    if (path.find("long-prompt") != std::string::npos)
        return { 2800, 20, 2 };
    if (path.find("sub-agent") != std::string::npos)
        return { 100, 190, eventsPerTurn };
    return {};
}

void sendEvent(Runner& runner, const RunnerRequest& request, const Plan& plan, int number)
{
    if (*request.isGone_)
        return;
    if (number > plan.events_)
        return request.link_->send("0\r\n\r\n");
    if (number == 1)
        request.link_->send(
            answerHead(request, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    request.link_->send(toChunk(fmt::format("id: {}\ndata: {} {}\n\n", number, request.id_, number)));
    runner.after(std::chrono::milliseconds(plan.gapMs_),
        [&runner, request, plan, number] { sendEvent(runner, request, plan, number + 1); });
}

// Programs, and the tokens that their clients were handed.
class Programs {
public:
    Programs(const SmallFleet& fleet, Recorder& recorder)
        : fleet_(fleet)
        , recorder_(recorder)
    {
    }

    // Takes one turn through the first VM and returns the status of its answer.
    int takeTurn(const std::string& program, const std::string& kind, int number)
    {
        std::string id = fmt::format("{}-{}-{}", program, kind, number);
        recorder_.write(id + " is sent to VM 1");
        ClientAnswer answer = sendRequest(fleet_.port(0), "POST", "/matter/" + kind,
            fmt::format("Fescuewinch-Request-Id: {}\r\nFescuewinch-Program-Id: {}\r\n"
                        "Fescuewinch-Session-Id: {}-{}\r\nFescuewinch-Program-Deadline-Ms: 20000\r\n"
                        "Fescuewinch-Token-Budget: {}\r\nFescuewinch-Token-Count: 1680,{}\r\n"
                        "Fescuewinch-Model: m\r\nFescuewinch-Deadline-Ms: 4000\r\n",
                id, program, program, kind == "sub-agent" ? number : 0, budget, maxTokens),
            "prompt of " + id);
        int tokens = countOf(answer.body_, "data: ") * tokensPerEvent;
        recorder_.write(fmt::format("{} is answered {}, {}, {} tokens", id, answer.status_,
            answer.isComplete_ ? "whole" : "broken", tokens));
        std::lock_guard<std::mutex> lock(mutex_);
        tokens_[program] += tokens;
        return answer.status_;
    }

    // Takes turns one after the other until the budget is spent.
    void loop(const std::string& program)
    {
        constexpr int maxTurns = 60;
        for (int number = 0; number < maxTurns; ++number) {
            int status = takeTurn(program, "next", number);
            if (status == 402)
                return;
            sleepMs(status == 200 ? 20 : 200);
        }
    }

    int judge()
    {
        int exceeded = 0;
        for (const auto& [program, tokens] : tokens_) {
            recorder_.write(fmt::format("{} was handed {} tokens of {}", program, tokens, budget));
            if (tokens <= budget + maxTokens)
                continue;
            ++exceeded;
            recorder_.write(fmt::format("BUDGET: {} exceeds its budget and the most of one turn", program));
        }
        std::string summary
            = fmt::format("{} programs, {} over budget and one turn", tokens_.size(), exceeded);
        recorder_.write(summary);
        std::cout << summary << "\n";
        return exceeded > 0 ? 1 : 0;
    }

private:
    const SmallFleet& fleet_;
    Recorder& recorder_;
    std::mutex mutex_;
    std::map<std::string, int> tokens_;
};

void startTurns(
    std::vector<std::thread>& clients, Programs& all, const std::string& prefix, const std::string& kind)
{
    for (int number = 0; number < programs * parallelTurns; ++number)
        clients.emplace_back([&all, prefix, kind, number] {
            all.takeTurn(fmt::format("{}{}", prefix, number % programs), kind, number / programs);
        });
}

int runCase(const std::string& recordFile)
{
    Recorder recorder(recordFile);
    SmallFleet fleet(config, { "zone-a", "zone-a" });
    for (int number = 0; number < runners; ++number)
        fleet.addRunner({ fmt::format("i-{}", number), "thread-reader", "zone-a", "v1", 0, 32 },
            [&recorder](Runner& runner, const RunnerRequest& request) {
                recorder.write(runner.instance() + " runs " + request.id_);
                Plan plan = planOf(request);
                runner.after(std::chrono::milliseconds(plan.firstMs_),
                    [&runner, request, plan] { sendEvent(runner, request, plan, 1); });
            });
    fleet.start();
    Programs all(fleet, recorder);
    std::vector<std::thread> clients;
    startTurns(clients, all, "early", "long-prompt");
    sleepMs(400);
    if (!isCalm()) {
        recorder.write("the second VM is killed");
        fleet.killAndRestart(1, 300);
        recorder.write("the second VM is ready again");
    }
    sleepMs(400);
    startTurns(clients, all, "late", "sub-agent");
    for (std::thread& client : clients)
        client.join();
    clients.clear();
    for (int number = 0; number < programs; ++number)
        clients.emplace_back([&all, number] { all.loop(fmt::format("late{}", number)); });
    for (std::thread& client : clients)
        client.join();
    return all.judge();
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
