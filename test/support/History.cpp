#include "History.h"

#include "ChatStream.h"
#include "ProgramId.h"

#include <algorithm>
#include <future>
#include <random>
#include <sstream>
#include <thread>

namespace fescue::test {

using nlohmann::json;

namespace {

    constexpr int answerWords = 16;
    constexpr const char* notRun = "not-run";

    std::string headerOf(const HttpResult& answer, const std::string& name)
    {
        auto found = answer.headers_.find(name);
        return found == answer.headers_.end() ? std::string() : found->second;
    }

    bool isAnswered(const HttpResult& answer) { return answer.outcome_ == HttpResult::Outcome::Answered; }

    int wordsIn(const std::string& text)
    {
        std::istringstream words(text);
        return static_cast<int>(
            std::distance(std::istream_iterator<std::string>(words), std::istream_iterator<std::string>()));
    }

    std::string nameOf(const SeenCall& call) { return call.program_ + "/" + std::to_string(call.number_); }

    std::string keyOf(const SeenCall& call) { return "\"" + nameOf(call) + "\""; }

    // One program of one caller.
    class Chain {
    public:
        Chain(Cluster& cluster, History& history, const ChainOptions& options, std::uint64_t index)
            : cluster_(cluster)
            , history_(history)
            , options_(options)
            , random_(options.seed_ * 1000 + index)
        {
        }

        void run()
        {
            create();
            int number = 1;
            auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60);
            while (number <= options_.calls_) {
                if (std::chrono::steady_clock::now() > deadline)
                    throw std::runtime_error("no final answer to " + program_ + "/" + std::to_string(number)
                        + ", but " + lastProblem_);
                number = step(number);
            }
        }

    private:
        std::size_t anyGateway()
        {
            std::set<std::size_t> open = options_.gateways_;
            if (options_.takenOut_)
                open.erase(*options_.takenOut_);
            auto chosen = open.begin();
            std::advance(chosen, random_() % open.size());
            return *chosen;
        }

        void create()
        {
            json wish { { "budget", options_.budget_ } };
            waitUntil("a program is created", [&] {
                Answer answer = cluster_.call(anyGateway(), "POST", "/v1/programs", wish.dump());
                if (answer.status() == 200)
                    program_ = answer.json()["program"].get<std::string>();
                return !program_.empty();
            });
            history_.created(program_, options_.budget_);
            before_[1] = json::array();
        }

        // Sends a call once and returns the number of the call to send next.
        int step(int number)
        {
            SeenCall call;
            call.program_ = program_;
            call.number_ = number;
            call.isService_ = number % 3 == 0;
            call.isStream_ = !call.isService_ && number % 2 == 0;
            call.token_ = "t" + std::to_string(options_.seed_) + program_ + "." + std::to_string(number);
            json messages = before_[number];
            messages.push_back({ { "role", "user" }, { "content", "do echo=" + call.token_ } });
            call = sendRecorded(cluster_, history_, anyGateway(), call, messages);
            if (call.answer_.status_ == 200 && isAnswered(call.answer_) && !showsError(call))
                return answered(call, messages);
            lastProblem_ = std::to_string(call.answer_.status_) + call.answer_.body_ + call.answer_.error_;
            std::string problem = problemOf(call.answer_);
            if (problem == "outcome-unknown")
                return answered(call, before_[number]);
            if (problem == "call-out-of-order")
                return lookAgain(number);
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            return number;
        }

        int answered(const SeenCall& call, json messages)
        {
            if (!call.isService_)
                messages.push_back({ { "role", "assistant" }, { "content", contentOf(call) } });
            before_[call.number_ + 1] = call.isService_ ? before_[call.number_] : messages;
            if (options_.done_)
                ++*options_.done_;
            return call.number_ + 1;
        }

        // Calls that were answered but not durable may be lost with their owner; they are sent again.
        int lookAgain(int number)
        {
            Answer shown = cluster_.call(anyGateway(), "GET", "/v1/programs/" + program_);
            if (shown.status() != 200)
                return number;
            int last = shown.json().value("last_call", number);
            return std::min(number, last + 1);
        }

        Cluster& cluster_;
        History& history_;
        ChainOptions options_;
        std::mt19937_64 random_;
        std::string program_;
        std::string lastProblem_;
        std::map<int, json> before_; ///< The transcript before each call.
    };

    void checkAnswer(const SeenCall& call, std::ostream& faults)
    {
        if (!isAnswered(call.answer_) || call.answer_.status_ != 200 || showsError(call))
            return;
        if (call.isService_) {
            json body = json::parse(call.answer_.body_, nullptr, false);
            if (!body.is_object() || body.value("body", "").find(call.token_) == std::string::npos)
                faults << nameOf(call) << ": not its own answer: " << call.answer_.body_ << "\n";
            return;
        }
        std::string content = contentOf(call);
        if (wordsIn(content) != answerWords)
            faults << nameOf(call) << ": a short answer that looks whole: " << content << "\n";
        else if (content.rfind(call.token_ + " ", 0) != 0)
            faults << nameOf(call) << ": not its own answer: " << content << "\n";
    }

    bool isOnlyAttempt(const SeenCall& call, const std::vector<SeenCall>& calls)
    {
        return std::count_if(calls.begin(), calls.end(), [&call](const SeenCall& other) {
            return other.isService_ && keyOf(other) == keyOf(call);
        }) == 1;
    }

    // Of two attempts under way at once, one cannot know of the other, so what ran before this one counts. A
    // refusal that leaves earlier attempts open speaks of itself only, so no attempt may have run if it is
    // alone.
    void checkRefusal(
        const SeenCall& call, const std::vector<SeenCall>& calls, const json& journal, std::ostream& faults)
    {
        if (!call.isService_ || headerOf(call.answer_, "fescue-run-state") != notRun)
            return;
        bool isOfItself = call.answer_.body_.find("\"earlier_attempts\"") != std::string::npos;
        bool isAlone = isOfItself && isOnlyAttempt(call, calls);
        for (const json& execution : journal) {
            bool isOwn = execution["key"] == keyOf(call);
            bool isEarlier = execution["at_ms"].get<std::int64_t>() < call.begin_.time_since_epoch().count();
            if (isOwn && (isOfItself ? isAlone : isEarlier))
                faults << nameOf(call) << ": refused as not run, but it had run: " << call.answer_.body_
                       << "\n";
        }
    }

    void checkExecutions(const json& journal, std::ostream& faults)
    {
        std::map<std::string, int> times;
        std::map<std::string, int> newest;
        for (const json& execution : journal) {
            std::string key = execution["key"].get<std::string>();
            if (++times[key] > 1)
                faults << key << ": executed " << times[key] << " times\n";
            auto slash = key.find('/');
            int number = std::stoi(key.substr(slash + 1));
            int& last = newest[key.substr(0, slash)];
            if (number < last)
                faults << key << ": executed after call " << last << "\n";
            last = std::max(last, number);
        }
    }

    void checkDurable(const SeenCall& call, const Evidence& evidence, std::ostream& faults)
    {
        std::string durable = headerOf(call.answer_, "fescue-durable-call");
        auto known = evidence.lastCalls_.find(call.program_);
        if (durable.empty() || known == evidence.lastCalls_.end())
            return;
        if (std::stoi(durable) > known->second)
            faults << nameOf(call) << ": call " << durable << " was durable, and the program ends at "
                   << known->second << "\n";
    }

    std::map<std::string, int> durableCalls(const History& history)
    {
        std::map<std::string, int> durable;
        for (const SeenCall& call : history.calls()) {
            std::string number = headerOf(call.answer_, "fescue-durable-call");
            if (!number.empty())
                durable[call.program_] = std::max(durable[call.program_], std::stoi(number));
        }
        return durable;
    }

    // The last call that any gateway shows. A woken owner shows an older state until it has reached the log
    // again, so the system gets some time to show what it had reported as durable.
    int lastCallOf(Cluster& cluster, const std::string& program, int durable)
    {
        constexpr std::chrono::seconds patience { 20 };
        auto deadline = std::chrono::steady_clock::now() + patience;
        int last = -1;
        while (last < durable && std::chrono::steady_clock::now() < deadline) {
            for (std::size_t vm = 0; vm < cluster.entries_.size(); ++vm) {
                if (!cluster.entries_[vm].gateway_->isRunning())
                    continue;
                Answer shown = cluster.call(vm, "GET", "/v1/programs/" + program);
                if (shown.status() == 200)
                    last = std::max(last, shown.json()["last_call"].get<int>());
            }
        }
        return last;
    }

} // namespace

std::string contentOf(const SeenCall& call)
{
    json message;
    if (call.isStream_) {
        ChatStream stream;
        stream.feed(call.answer_.body_);
        if (stream.isDone())
            message = json::parse(stream.message(), nullptr, false);
    } else {
        json body = json::parse(call.answer_.body_, nullptr, false);
        if (body.is_object() && body.contains("choices"))
            message = body["choices"][0]["message"];
    }
    return message.is_object() ? message.value("content", "") : std::string();
}

bool showsError(const SeenCall& call)
{
    return call.isStream_ && call.answer_.body_.find("event: error") != std::string::npos;
}

std::string problemOf(const HttpResult& answer)
{
    json body = json::parse(answer.body_, nullptr, false);
    std::string type = body.is_object() ? body.value("type", "") : std::string();
    auto colon = type.rfind(':');
    return colon == std::string::npos ? std::string() : type.substr(colon + 1);
}

void History::add(SeenCall call)
{
    std::lock_guard<std::mutex> lock(mutex_);
    calls_.push_back(std::move(call));
}

void History::created(const std::string& program, std::int64_t budget)
{
    std::lock_guard<std::mutex> lock(mutex_);
    budgets_[program] = budget;
}

std::vector<SeenCall> History::calls() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return calls_;
}

std::map<std::string, std::int64_t> History::budgets() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return budgets_;
}

Evidence evidenceOf(Cluster& cluster, const History& history)
{
    Evidence evidence { cluster.get(*cluster.service_, "/journal"), {}, history.budgets(), {} };
    for (const auto& engine : cluster.engines_) {
        json used = cluster.get(*engine, "/used");
        for (const auto& [program, tokens] : used.items())
            evidence.used_[program] += tokens.get<std::int64_t>();
    }
    auto durable = durableCalls(history);
    for (const auto& [program, budget] : evidence.budgets_)
        evidence.lastCalls_[program] = lastCallOf(cluster, program, durable[program]);
    return evidence;
}

std::string faultsOf(const std::vector<SeenCall>& calls, const Evidence& evidence)
{
    std::ostringstream faults;
    checkExecutions(evidence.journal_, faults);
    for (const SeenCall& call : calls) {
        checkAnswer(call, faults);
        checkRefusal(call, calls, evidence.journal_, faults);
        checkDurable(call, evidence, faults);
    }
    for (const auto& [program, used] : evidence.used_) {
        auto budget = evidence.budgets_.find(program);
        if (budget != evidence.budgets_.end() && used > budget->second)
            faults << program << ": used " << used << " of " << budget->second << " tokens\n";
    }
    return faults.str();
}

void runPrograms(Cluster& cluster, History& history, const ChainOptions& options)
{
    std::vector<std::future<void>> chains;
    for (std::size_t i = 0; i < options.programs_; ++i)
        chains.push_back(
            std::async(std::launch::async, [&, i] { Chain(cluster, history, options, i).run(); }));
    for (auto& chain : chains)
        chain.get();
}

SeenCall sendRecorded(Cluster& cluster, History& history, std::size_t vm, SeenCall call, const json& messages)
{
    call.begin_ = monotonicNow();
    if (call.isService_)
        call.answer_ = cluster
                           .serviceCall(vm, call.program_, call.number_, "/payouts",
                               json { { "token", call.token_ } }.dump())
                           .http_;
    else
        call.answer_ = cluster.modelCall(vm, call.program_, call.number_, messages, call.isStream_).http_;
    call.end_ = monotonicNow();
    history.add(call);
    return call;
}

void waitUntilSettled(Cluster& cluster)
{
    waitUntil("each shard has an owner", [&] {
        std::set<std::string> owned;
        for (const EntryVm& vm : cluster.entries_) {
            if (!vm.scheduler_->isRunning())
                continue;
            json status = cluster.get(*vm.scheduler_, "/status");
            for (const json& shard : status["shards"]) {
                if (shard["epoch"].get<std::uint64_t>() != 0)
                    owned.insert(shard["shard"].get<std::string>());
            }
        }
        return owned.size() == cluster.options_.zones_.size() * shardsPerZone;
    });
}

std::size_t ownerOf(Cluster& cluster, const std::string& program)
{
    std::string stream = streamOf(*shardOf({ program }));
    std::size_t owner = cluster.entries_.size();
    std::uint64_t newest = 0;
    for (std::size_t vm = 0; vm < cluster.entries_.size(); ++vm) {
        const Process& scheduler = *cluster.entries_[vm].scheduler_;
        if (!scheduler.isRunning())
            continue;
        json status = cluster.get(scheduler, "/status");
        for (const json& shard : status["shards"]) {
            auto epoch = shard["epoch"].get<std::uint64_t>();
            if (shard["shard"] != stream || epoch <= newest)
                continue;
            newest = epoch;
            owner = vm;
        }
    }
    return owner;
}

} // namespace fescue::test
