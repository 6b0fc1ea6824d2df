// A runner that is full refuses a request that may run once, and a copy of this refusal comes late, where the
// next response is expected. Counts how often each client attempt runs.

#include "Client.h"
#include "Recorder.h"
#include "SmallFleet.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <iostream>
#include <mutex>
#include <random>

using namespace fescue;
using namespace fescue::review;

namespace {

constexpr const char* config = R"({"version":7,"routes":[
{"name":"hold-release","host":"h.example","path-prefix":"/hold/","type":"non_idempotent","timeout-ms":1500,
 "target-latency-ms":150,"service":"hold-desk","max-attempts":1,"priority":2}],
"services":[{"name":"hold-desk"}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

constexpr std::size_t slots = 6;
constexpr std::size_t maxQueued = 6;
constexpr double meanWorkMs = 26;
constexpr int minWorkMs = 2;
constexpr int maxWorkMs = 200;
constexpr double spoiledShare = 0.03; // The site's dose of `garble`.
constexpr int windowMs = 5000; // The site's length of `garble`.
constexpr int testSeconds = 75;
constexpr int clientCount = 60;
constexpr int vmCount = 3;

// Runs and answers of all client attempts.
struct Ledger {
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::map<std::string, int> statuses_;
    int extras_ = 0;
    int refusals_ = 0;
};

// A plain service that does not tell its load: works on some requests at once, queues a few more, and refuses
// the others.
class PlainRunner {
public:
    PlainRunner(Ledger& ledger, Recorder& recorder, bool isFaulty, unsigned seed)
        : ledger_(ledger)
        , recorder_(recorder)
        , isFaulty_(isFaulty)
        , random_(seed)
    {
    }

    void handle(Runner& runner, const RunnerRequest& request)
    {
        Channel& channel = channels_[request.link_.get()];
        channel.link_ = request.link_;
        channel.unread_.push_back(request);
        if (!channel.isBusy_)
            readNext(runner, channel);
    }

private:
    // A runner serves one request at a time on a channel.
    struct Channel {
        std::shared_ptr<TcpLink> link_; ///< Kept, so that no other channel gets its address.
        std::deque<RunnerRequest> unread_;
        bool isBusy_ = false;
    };

    void readNext(Runner& runner, Channel& channel)
    {
        channel.isBusy_ = !channel.unread_.empty();
        if (!channel.isBusy_)
            return;
        RunnerRequest request = channel.unread_.front();
        channel.unread_.pop_front();
        if (*request.isGone_)
            return channel.unread_.clear();
        begin(runner, request);
    }

    void begin(Runner& runner, const RunnerRequest& request)
    {
        auto late = lateCopies_.find(request.link_.get());
        if (late != lateCopies_.end()) {
            recorder_.write(runner.instance() + " sends a late copy of the answer to " + late->second.first
                + " when " + request.id_ + " comes");
            request.link_->send(late->second.second);
            lateCopies_.erase(late);
        }
        if (running_ < slots)
            return work(runner, request);
        if (queue_.size() < maxQueued)
            return queue_.push_back(request);
        {
            std::lock_guard<std::mutex> lock(ledger_.mutex_);
            ++ledger_.refusals_;
        }
        answer(runner, request, refusal(request));
    }

    void work(Runner& runner, const RunnerRequest& request)
    {
        ++running_;
        {
            std::lock_guard<std::mutex> lock(ledger_.mutex_);
            int runs = ++ledger_.runs_[request.id_];
            recorder_.write(fmt::format("{} runs {} (run {})", runner.instance(), request.id_, runs));
        }
        std::exponential_distribution<> duration(1 / meanWorkMs);
        auto workMs = std::clamp(static_cast<int>(duration(random_)), minWorkMs, maxWorkMs);
        runner.after(std::chrono::milliseconds(workMs), [this, &runner, request] {
            --running_;
            if (!*request.isGone_)
                answer(runner, request, wholeAnswer(request, std::string(800, 'b')));
            while (running_ < slots && !queue_.empty()) {
                RunnerRequest next = queue_.front();
                queue_.pop_front();
                if (!*next.isGone_)
                    work(runner, next);
            }
        });
    }

    void answer(Runner& runner, const RunnerRequest& request, const std::string& bytes)
    {
        request.link_->send(bytes);
        spoil(runner, request, bytes);
        readNext(runner, channels_[request.link_.get()]);
    }

    void spoil(Runner& runner, const RunnerRequest& request, const std::string& bytes)
    {
        bool isInWindow = static_cast<long>(recorder_.secondsSinceStart() * 1000) / windowMs % 2 == 1;
        if (!isFaulty_ || !isInWindow || std::uniform_real_distribution<>(0, 1)(random_) >= spoiledShare)
            return;
        lateCopies_[request.link_.get()] = { request.id_, bytes };
        std::lock_guard<std::mutex> lock(ledger_.mutex_);
        ++ledger_.extras_;
        recorder_.write(runner.instance() + " will repeat its answer to " + request.id_);
    }

    Ledger& ledger_;
    Recorder& recorder_;
    bool isFaulty_;
    std::mt19937 random_;
    std::size_t running_ = 0;
    std::deque<RunnerRequest> queue_;
    std::map<TcpLink*, std::pair<std::string, std::string>> lateCopies_;
    std::map<TcpLink*, Channel> channels_;
};

void sendHolds(const SmallFleet& fleet, Ledger& ledger, Recorder& recorder, int client)
{
    for (int i = 0; recorder.secondsSinceStart() < testSeconds; ++i) {
        std::string id = fmt::format("c{}-{}", client, i);
        auto vm = static_cast<std::size_t>((client + i) % vmCount);
        recorder.write(fmt::format("{} is sent to VM {}", id, vm + 1));
        ClientAnswer answer = sendRequest(fleet.port(vm), "POST", fmt::format("/hold/{}", client),
            "Fescuewinch-Request-Id: " + id + "\r\nFescuewinch-Deadline-Ms: 1500\r\n", "hold of " + id);
        recorder.write(fmt::format("{} is answered {}", id, answer.status_));
        {
            std::lock_guard<std::mutex> lock(ledger.mutex_);
            ledger.statuses_[id] = answer.status_;
        }
        sleepMs(answer.status_ == 200 ? 20 : 200);
    }
}

int judge(const Ledger& ledger, Recorder& recorder)
{
    int twice = 0;
    int refusedAndRan = 0;
    std::map<int, int> statuses;
    for (const auto& [id, status] : ledger.statuses_) {
        ++statuses[status];
        auto runs = ledger.runs_.find(id);
        if (runs == ledger.runs_.end())
            continue;
        if (runs->second > 1) {
            ++twice;
            recorder.write(fmt::format("TWICE: {} ran {} times, answered {}", id, runs->second, status));
        }
        if (status == 429 || status == 503) {
            ++refusedAndRan;
            recorder.write(fmt::format("REFUSED: {} ran and was answered {}", id, status));
        }
    }
    std::string summary
        = fmt::format("{} attempts, {} refusals, {} late copies, {} ran more than once, {} refused and ran;",
            ledger.statuses_.size(), ledger.refusals_, ledger.extras_, twice, refusedAndRan);
    for (const auto& [status, count] : statuses)
        summary += fmt::format(" {}: {}", status, count);
    recorder.write(summary);
    std::cout << summary << "\n";
    return twice + refusedAndRan > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return 2;
    try {
        Recorder recorder(argv[1]);
        Ledger ledger;
        SmallFleet fleet(config, std::vector<std::string>(vmCount, "zone-a"));
        PlainRunner first(ledger, recorder, !isCalm(), 1);
        PlainRunner second(ledger, recorder, false, 2);
        for (PlainRunner* plain : { &first, &second })
            fleet.addRunner({ plain == &first ? "i-1" : "i-2", "hold-desk", "zone-a", "v1", 0, slots },
                [plain](Runner& runner, const RunnerRequest& request) { plain->handle(runner, request); });
        fleet.start();
        std::vector<std::thread> clients;
        clients.reserve(clientCount);
        for (int client = 0; client < clientCount; ++client)
            clients.emplace_back([&, client] { sendHolds(fleet, ledger, recorder, client); });
        for (std::thread& client : clients)
            client.join();
        return judge(ledger, recorder);
    } catch (const std::exception& error) {
        std::cerr << "the case could not run: " << error.what() << "\n";
        return 2;
    }
}
