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

    constexpr int wordsPerAnswer = 16;
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

    std::string nameOf(const RecordedCall& call)
    {
        return call.program_ + "/" + std::to_string(call.number_);
    }

    std::string keyOf(const RecordedCall& call) { return "\"" + nameOf(call) + "\""; }

    // A caller that runs one program.
    class ProgramCaller {
    public:
        ProgramCaller(Cluster& cluster, History& history, const CallerOptions& options, std::uint64_t index)
            : cluster_(cluster)
            , history_(history)
            , options_(options)
            , random_(options.seed_ * 1000 + index)
        {
        }

        void run()
        {
            do
                runProgram();
            while (options_.mayEnd_ && !*options_.mayEnd_);
        }

    private:
        void runProgram()
        {
            create();
            int number = 1;
            auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60);
            while (number <= options_.calls_) {
                if (std::chrono::steady_clock::now() > deadline)
                    throw std::runtime_error("timed out waiting for the final answer to " + program_ + "/"
                        + std::to_string(number) + ", last response: " + lastProblem_);
                number = sendCall(number);
            }
        }

        std::size_t pickGateway()
        {
            std::set<std::size_t> available = options_.gateways_;
            if (options_.drainingVm_)
                available.erase(*options_.drainingVm_);
            auto chosen = available.begin();
            std::advance(chosen, random_() % available.size());
            return *chosen;
        }

        void create()
        {
            program_.clear();
            transcriptBefore_.clear();
            json request { { "budget", options_.budget_ } };
            waitUntil("a program is created", [&] {
                Answer answer = cluster_.call(pickGateway(), "POST", "/v1/programs", request.dump());
                if (answer.status() == 200)
                    program_ = answer.json()["program"].get<std::string>();
                return !program_.empty();
            });
            history_.recordProgram(program_, options_.budget_);
            transcriptBefore_[1] = json::array();
        }

        // Sends a call once and returns the number of the call to send next.
        int sendCall(int number)
        {
            RecordedCall call;
            call.program_ = program_;
            call.number_ = number;
            call.isService_ = number % 3 == 0;
            call.isStream_ = !call.isService_ && number % 2 == 0;
            call.token_ = "t" + std::to_string(options_.seed_) + program_ + "." + std::to_string(number);
            json messages = transcriptBefore_[number];
            messages.push_back({ { "role", "user" }, { "content", "do echo=" + call.token_ } });
            call = sendRecorded(cluster_, history_, pickGateway(), call, messages);
            if (call.answer_.status_ == 200 && isAnswered(call.answer_) && !hasErrorEvent(call))
                return completeCall(call, messages);
            lastProblem_ = std::to_string(call.answer_.status_) + call.answer_.body_ + call.answer_.error_;
            std::string problem = problemOf(call.answer_);
            if (problem == "outcome-unknown")
                return completeCall(call, transcriptBefore_[number]);
            if (problem == "call-out-of-order")
                return findNextCall(number);
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            return number;
        }

        int completeCall(const RecordedCall& call, json messages)
        {
            if (!call.isService_)
                messages.push_back({ { "role", "assistant" }, { "content", contentOf(call) } });
            transcriptBefore_[call.number_ + 1]
                = call.isService_ ? transcriptBefore_[call.number_] : messages;
            if (options_.answeredCalls_)
                ++*options_.answeredCalls_;
            return call.number_ + 1;
        }

        // An owner that dies may lose calls that were answered but not yet durable. The caller sends these
        // again.
        int findNextCall(int number)
        {
            Answer response = cluster_.call(pickGateway(), "GET", "/v1/programs/" + program_);
            if (response.status() != 200)
                return number;
            int last = response.json().value("last_call", number);
            return std::min(number, last + 1);
        }

        Cluster& cluster_;
        History& history_;
        CallerOptions options_;
        std::mt19937_64 random_;
        std::string program_;
        std::string lastProblem_;
        std::map<int, json> transcriptBefore_; ///< By call number.
    };

    void checkAnswer(const RecordedCall& call, std::ostream& violations)
    {
        if (!isAnswered(call.answer_) || call.answer_.status_ != 200 || hasErrorEvent(call))
            return;
        if (call.isService_) {
            json body = json::parse(call.answer_.body_, nullptr, false);
            if (!body.is_object() || body.value("body", "").find(call.token_) == std::string::npos)
                violations << nameOf(call) << ": got the answer to another call: " << call.answer_.body_
                           << "\n";
            return;
        }
        std::string content = contentOf(call);
        if (wordsIn(content) != wordsPerAnswer)
            violations << nameOf(call) << ": truncated answer without an error: " << content << "\n";
        else if (content.rfind(call.token_ + " ", 0) != 0)
            violations << nameOf(call) << ": got the answer to another call: " << content << "\n";
    }

    bool isOnlyAttempt(const RecordedCall& call, const std::vector<RecordedCall>& calls)
    {
        return std::count_if(calls.begin(), calls.end(), [&call](const RecordedCall& other) {
            return other.isService_ && keyOf(other) == keyOf(call);
        }) == 1;
    }

    // Concurrent attempts cannot know of each other, so only executions that started before this attempt make
    // its "not-run" wrong. A refusal with "earlier_attempts" covers its own attempt only, so it is wrong if
    // the call ran and there was no other attempt.
    void checkRefusal(const RecordedCall& call, const std::vector<RecordedCall>& calls, const json& journal,
        std::ostream& violations)
    {
        if (!call.isService_ || headerOf(call.answer_, "fescue-run-state") != notRun)
            return;
        bool coversOnlyItself = call.answer_.body_.find("\"earlier_attempts\"") != std::string::npos;
        bool isOnlyOne = coversOnlyItself && isOnlyAttempt(call, calls);
        for (const json& execution : journal) {
            bool isOwn = execution["key"] == keyOf(call);
            bool isEarlier = execution["at_ms"].get<std::int64_t>() < call.begin_.time_since_epoch().count();
            if (isOwn && (coversOnlyItself ? isOnlyOne : isEarlier))
                violations << nameOf(call)
                           << ": refused as not-run although it had run: " << call.answer_.body_ << "\n";
        }
    }

    void checkExecutions(const json& journal, std::ostream& violations)
    {
        std::map<std::string, int> times;
        std::map<std::string, int> newest;
        for (const json& execution : journal) {
            std::string key = execution["key"].get<std::string>();
            if (++times[key] > 1)
                violations << key << ": executed " << times[key] << " times\n";
            auto slash = key.find('/');
            int number = std::stoi(key.substr(slash + 1));
            int& last = newest[key.substr(0, slash)];
            if (number < last)
                violations << key << ": executed after call " << last << "\n";
            last = std::max(last, number);
        }
    }

    void checkDurability(const RecordedCall& call, const Evidence& evidence, std::ostream& violations)
    {
        std::string durable = headerOf(call.answer_, "fescue-durable-call");
        auto lastCall = evidence.lastCalls_.find(call.program_);
        if (durable.empty() || lastCall == evidence.lastCalls_.end())
            return;
        if (std::stoi(durable) > lastCall->second)
            violations << nameOf(call) << ": call " << durable
                       << " was reported durable, but the last call of the program is " << lastCall->second
                       << "\n";
    }

    std::map<std::string, int> durableCalls(const History& history)
    {
        std::map<std::string, int> durable;
        for (const RecordedCall& call : history.calls()) {
            std::string number = headerOf(call.answer_, "fescue-durable-call");
            if (!number.empty())
                durable[call.program_] = std::max(durable[call.program_], std::stoi(number));
        }
        return durable;
    }

    // Returns the highest last call that any gateway reports. A resumed owner reports an older state until it
    // has reached the log again, so this retries until the calls reported as durable are visible.
    int readLastCall(Cluster& cluster, const std::string& program, int durable)
    {
        constexpr std::chrono::seconds timeout { 20 };
        auto deadline = std::chrono::steady_clock::now() + timeout;
        int last = -1;
        while (last < durable && std::chrono::steady_clock::now() < deadline) {
            for (std::size_t vm = 0; vm < cluster.entries_.size(); ++vm) {
                if (!cluster.entries_[vm].gateway_->isRunning())
                    continue;
                Answer response = cluster.call(vm, "GET", "/v1/programs/" + program);
                if (response.status() == 200)
                    last = std::max(last, response.json()["last_call"].get<int>());
            }
        }
        return last;
    }

} // namespace

std::string contentOf(const RecordedCall& call)
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

bool hasErrorEvent(const RecordedCall& call)
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

void History::add(RecordedCall call)
{
    std::lock_guard<std::mutex> lock(mutex_);
    calls_.push_back(std::move(call));
}

void History::recordProgram(const std::string& program, std::int64_t budget)
{
    std::lock_guard<std::mutex> lock(mutex_);
    budgets_[program] = budget;
}

std::vector<RecordedCall> History::calls() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return calls_;
}

std::map<std::string, std::int64_t> History::budgets() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return budgets_;
}

Evidence collectEvidence(Cluster& cluster, const History& history)
{
    Evidence evidence { cluster.get(*cluster.service_, "/journal"), {}, history.budgets(), {} };
    for (const auto& engine : cluster.engines_) {
        json used = cluster.get(*engine, "/used");
        for (const auto& [program, tokens] : used.items())
            evidence.usedTokens_[program] += tokens.get<std::int64_t>();
    }
    auto durable = durableCalls(history);
    for (const auto& [program, budget] : evidence.budgets_)
        evidence.lastCalls_[program] = readLastCall(cluster, program, durable[program]);
    return evidence;
}

std::string findViolations(const std::vector<RecordedCall>& calls, const Evidence& evidence)
{
    std::ostringstream violations;
    checkExecutions(evidence.journal_, violations);
    for (const RecordedCall& call : calls) {
        checkAnswer(call, violations);
        checkRefusal(call, calls, evidence.journal_, violations);
        checkDurability(call, evidence, violations);
    }
    for (const auto& [program, used] : evidence.usedTokens_) {
        auto budget = evidence.budgets_.find(program);
        if (budget != evidence.budgets_.end() && used > budget->second)
            violations << program << ": used " << used << " of " << budget->second << " tokens\n";
    }
    return violations.str();
}

void runPrograms(Cluster& cluster, History& history, const CallerOptions& options)
{
    std::vector<std::future<void>> callers;
    for (std::size_t i = 0; i < options.programs_; ++i)
        callers.push_back(
            std::async(std::launch::async, [&, i] { ProgramCaller(cluster, history, options, i).run(); }));
    for (auto& caller : callers)
        caller.get();
}

RecordedCall sendRecorded(
    Cluster& cluster, History& history, std::size_t vm, RecordedCall call, const json& messages)
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

void waitUntilAllShardsOwned(Cluster& cluster)
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
