// A runner resets some of its streams on a route whose turns are kept and may be resumed. Clients take them
// up and go on with their conversations. Compares what runners receive with what was said.

#include "Client.h"
#include "Recorder.h"
#include "SmallFleet.h"

#include <fmt/format.h>
#include <iostream>
#include <mutex>
#include <optional>
#include <random>

using namespace fescue;
using namespace fescue::review;

namespace {

constexpr const char* config = R"({"version":7,"routes":[
{"name":"matter-query","host":"h.example","path-prefix":"/matter/","type":"streaming","timeout-ms":4000,
 "target-latency-ms":200,"target-gap-ms":300,"service":"thread-reader","max-attempts":2,"priority":1,"sticky":true,
 "retained":true,"retention-s":60.0,"resumable":true}],
"services":[{"name":"thread-reader","engine":{"slots":32,"tokens-per-event":19,"kv-capacity":783000}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

constexpr int vms = 2;
constexpr int clients = 24;
constexpr int turnsOfProgram = 3;
constexpr int events = 13;
constexpr int eventGapMs = 10;
constexpr int testSeconds = 40;
constexpr double resetShare = 0.05; // The sites' dose of `answer_lost` with `how = "reset"`.
constexpr int windowMs = 4000; // Its length.

// What runners have received, by the id of the client attempt.
struct Ledger {
    std::mutex mutex_;
    std::map<std::string, std::string> bodies_;
    std::map<std::string, std::string> expected_;
    int resets_ = 0;
    int takenUp_ = 0;
};

class ModelRunner {
public:
    ModelRunner(Ledger& ledger, Recorder& recorder, bool isFaulty)
        : ledger_(ledger)
        , recorder_(recorder)
        , isFaulty_(isFaulty)
    {
    }

    void handle(Runner& runner, const RunnerRequest& request)
    {
        {
            std::lock_guard<std::mutex> lock(ledger_.mutex_);
            ledger_.bodies_[request.id_] = request.body_;
        }
        recorder_.write(
            fmt::format("{} runs {} with {} bytes", runner.instance(), request.id_, request.body_.size()));
        std::string last = headerOf(request, "Last-Event-Id");
        request.link_->send(
            answerHead(request, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        bool isInWindow = static_cast<long>(recorder_.secondsSinceStart() * 1000) / windowMs % 2 == 1;
        bool isReset
            = isFaulty_ && isInWindow && std::uniform_real_distribution<>(0, 1)(random_) < resetShare;
        int resetAfter = isReset ? std::uniform_int_distribution<int>(1, events - 1)(random_) : events + 1;
        sendEvents(runner, request, last.empty() ? 1 : std::stoi(last) + 1, resetAfter);
    }

private:
    void sendEvents(Runner& runner, const RunnerRequest& request, int number, int resetAfter)
    {
        if (*request.isGone_)
            return;
        if (number > resetAfter) {
            recorder_.write(
                fmt::format("{} resets {} after event {}", runner.instance(), request.id_, resetAfter));
            ++ledger_.resets_;
            *request.isGone_ = true;
            return request.link_->close(true);
        }
        if (number > events)
            return request.link_->send("0\r\n\r\n");
        request.link_->send(toChunk(fmt::format("id: {}\ndata: {}-{} \n\n", number, request.id_, number)));
        runner.after(std::chrono::milliseconds(eventGapMs), [this, &runner, request, number, resetAfter] {
            sendEvents(runner, request, number + 1, resetAfter);
        });
    }

    Ledger& ledger_;
    Recorder& recorder_;
    bool isFaulty_;
    std::mt19937 random_ { 1 };
};

// The data of each whole event, followed by a line feed.
std::string dataOf(const std::string& body, int& count)
{
    constexpr std::string_view mark = "\ndata: ";
    std::string data;
    for (std::size_t at = 0; (at = body.find(mark, at)) != std::string::npos;) {
        std::size_t end = body.find("\n\n", at + mark.size());
        if (end == std::string::npos)
            break;
        data += body.substr(at + mark.size(), end - at - mark.size()) + "\n";
        ++count;
        at = end;
    }
    return data;
}

// One program: a conversation of several turns.
class Program {
public:
    Program(const SmallFleet& fleet, Ledger& ledger, Recorder& recorder, std::string name)
        : fleet_(fleet)
        , ledger_(ledger)
        , recorder_(recorder)
        , name_(std::move(name))
    {
    }

    void run(std::size_t vm)
    {
        for (int turn = 0; turn < turnsOfProgram; ++turn) {
            std::string id = fmt::format("{}-{}", name_, turn);
            std::string input = "input of " + id + "\n";
            if (!takeTurn(vm + static_cast<std::size_t>(turn), id, input))
                return;
        }
    }

private:
    ClientAnswer attempt(
        std::size_t vm, const std::string& id, const std::string& input, const std::string& extra)
    {
        {
            std::lock_guard<std::mutex> lock(ledger_.mutex_);
            ledger_.expected_[id] = said_ + input;
        }
        std::string previous
            = previous_.empty() ? std::string() : "Fescuewinch-Previous-Turn: " + previous_ + "\r\n";
        recorder_.write(fmt::format("{} is sent to VM {}", id, vm % vms + 1));
        ClientAnswer answer = sendRequest(fleet_.port(vm % vms), "POST", "/matter/1",
            fmt::format("Fescuewinch-Request-Id: {}\r\nFescuewinch-Program-Id: {}\r\n"
                        "Fescuewinch-Session-Id: {}\r\nFescuewinch-Program-Deadline-Ms: 9000\r\n"
                        "Fescuewinch-Token-Budget: 9000\r\nFescuewinch-Token-Count: 1680,304\r\n"
                        "Fescuewinch-Model: m\r\nFescuewinch-Deadline-Ms: 4000\r\n{}{}",
                id, name_, name_, previous, extra),
            input);
        recorder_.write(fmt::format("{} continues '{}' {}is answered {}, {}", id, previous_,
            extra.empty() ? "" : "and takes a stream up, ", answer.status_,
            answer.isComplete_ ? "whole" : "broken"));
        return answer;
    }

    // Whether the program can go on.
    bool takeTurn(std::size_t vm, const std::string& id, const std::string& input)
    {
        ClientAnswer answer = attempt(vm, id, input, "");
        int count = 0;
        std::string output = dataOf(answer.body_, count);
        std::string last = id;
        if (answer.status_ == 200 && !answer.isComplete_ && count > 0) {
            last = id + "-again";
            answer = attempt(
                vm + 1, last, input, fmt::format("Resumes: {}\r\nLast-Event-Id: {}\r\n", id, count));
            output += dataOf(answer.body_, count);
            std::lock_guard<std::mutex> lock(ledger_.mutex_);
            ++ledger_.takenUp_;
        }
        if (answer.status_ != 200 || !answer.isComplete_ || count != events)
            return false;
        said_ += input + output;
        previous_ = last;
        return true;
    }

    const SmallFleet& fleet_;
    Ledger& ledger_;
    Recorder& recorder_;
    std::string name_;
    std::string previous_; ///< The last turn; empty before the first one.
    std::string said_; ///< Inputs and outputs so far.
};

int judge(Ledger& ledger, Recorder& recorder)
{
    int wrong = 0;
    for (const auto& [id, body] : ledger.bodies_) {
        if (body == ledger.expected_[id])
            continue;
        ++wrong;
        recorder.write(fmt::format("UNASKED: a runner ran {} with {} bytes, where {} bytes were said", id,
            body.size(), ledger.expected_[id].size()));
    }
    std::string summary = fmt::format("{} runs, {} streams reset, {} taken up, {} runs with another body",
        ledger.bodies_.size(), ledger.resets_, ledger.takenUp_, wrong);
    recorder.write(summary);
    std::cout << summary << "\n";
    return wrong > 0 ? 1 : 0;
}

int runCase(const std::string& recordFile)
{
    Recorder recorder(recordFile);
    Ledger ledger;
    SmallFleet fleet(config, std::vector<std::string>(vms, "zone-a"));
    ModelRunner faulty(ledger, recorder, !isCalm());
    ModelRunner sound(ledger, recorder, false);
    for (ModelRunner* model : { &faulty, &sound })
        fleet.addRunner({ model == &faulty ? "i-1" : "i-2", "thread-reader", "zone-a", "v1", 0, 32 },
            [model](Runner& runner, const RunnerRequest& request) { model->handle(runner, request); });
    fleet.start();
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int client = 0; client < clients; ++client)
        threads.emplace_back([&, client] {
            for (int i = 0; recorder.secondsSinceStart() < testSeconds; ++i) {
                Program(fleet, ledger, recorder, fmt::format("p{}-{}", client, i))
                    .run(static_cast<std::size_t>(client));
                sleepMs(60);
            }
        });
    for (std::thread& thread : threads)
        thread.join();
    return judge(ledger, recorder);
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
