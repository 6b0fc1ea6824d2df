// Replaces every VM of a zone, one after another, while callers send requests.

#include "Cluster.h"
#include "Suite.h"

#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

using namespace fescue::test;
using fescue::HttpResult;
using nlohmann::json;

class RollingReplacement : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RollingReplacement);
    CPPUNIT_TEST(replacingEveryVmUnderLoadInterruptsNoRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    void replacingEveryVmUnderLoadInterruptsNoRequest();
};

REGISTER_SUITE(RollingReplacement);

namespace {

// Callers that run programs of service calls, which may run at most once, against the gateways that currently
// accept requests.
struct Load {
    Cluster& cluster_;
    std::mutex mutex_;
    std::vector<std::string> gateways_;
    std::atomic<bool> isStopped_ { false };
    std::atomic<int> answeredCalls_ { 0 };
    std::mutex unexpectedAnswersMutex_;
    std::vector<std::string> unexpectedAnswers_;
    std::vector<std::thread> threads_;

    explicit Load(Cluster& cluster)
        : cluster_(cluster)
    {
    }

    ~Load() { stop(); }

    std::string pickGateway(std::size_t attempt)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return gateways_[attempt % gateways_.size()];
    }

    // Sends a request until it succeeds. A refusal must state that the call did not run.
    HttpResult send(fescue::HttpClient& client, std::size_t attempt, const std::string& path,
        const std::string& body, std::vector<std::string> headers)
    {
        headers.push_back(std::string("Authorization: Bearer ") + callerKey);
        for (;; ++attempt) {
            fescue::HttpCall call { "POST", pickGateway(attempt) + path, headers, body };
            call.timeout_ = fescue::Milliseconds { 30000 };
            HttpResult result = client.perform(call);
            if (result.status_ == 200 || isStopped_)
                return result;
            bool isRefusal = result.status_ == 503 || result.status_ == 429
                || result.outcome_ == HttpResult::Outcome::NotSent;
            if (!isRefusal || result.body_.find(R"("run_state":"not-run")") == std::string::npos) {
                std::lock_guard<std::mutex> lock(unexpectedAnswersMutex_);
                unexpectedAnswers_.push_back(
                    path + " " + std::to_string(result.status_) + result.error_ + result.body_);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    void runPrograms(std::size_t caller)
    {
        fescue::HttpClient client;
        while (!isStopped_) {
            HttpResult created = send(client, caller, "/v1/programs", "{}", {});
            json document = json::parse(created.body_, nullptr, false);
            if (!document.is_object() || !document.contains("program"))
                continue;
            std::string program = document["program"].get<std::string>();
            for (int number = 1; number <= 5 && !isStopped_; ++number) {
                send(client, caller + static_cast<std::size_t>(number), "/v1/services/lease-app/invoices",
                    "{}", { "Fescue-Program: " + program, "Fescue-Call: " + std::to_string(number) });
                ++answeredCalls_;
            }
        }
    }

    void start(std::size_t callers)
    {
        for (const EntryVm& vm : cluster_.entries_)
            gateways_.push_back(cluster_.url(*vm.gateway_));
        for (std::size_t caller = 0; caller < callers; ++caller)
            threads_.emplace_back([this, caller] { runPrograms(caller); });
    }

    void stop()
    {
        isStopped_ = true;
        for (std::thread& thread : threads_)
            thread.join();
        threads_.clear();
    }
};

} // namespace

void RollingReplacement::replacingEveryVmUnderLoadInterruptsNoRequest()
{
    ClusterOptions options;
    options.vmsPerZone_ = 3;
    options.schedulerFlags_ = { "--drain_ms=20000" };
    Cluster cluster(options);
    // The delay ensures that calls are in flight when a VM is stopped.
    cluster.setFaults(*cluster.service_, { { "delay_ms", 100 } });
    Load load(cluster);
    load.start(4);
    for (std::size_t old = 0; old < 3; ++old) {
        int before = load.answeredCalls_;
        cluster.startVm("zone-a-new" + std::to_string(old), "zone-a");
        EntryVm& replacement = cluster.entries_.back();
        std::string ready = cluster.url(*replacement.gateway_) + "/readyz";
        waitUntil("the new VM is ready", [&] {
            return cluster.client_.perform({ "GET", ready }).status_ == 200;
        });
        {
            std::lock_guard<std::mutex> lock(load.mutex_);
            load.gateways_.erase(load.gateways_.begin());
            load.gateways_.push_back(cluster.url(*replacement.gateway_));
        }
        CHECK_EQUAL(0, cluster.entries_[old].gateway_->signalAndWait(SIGTERM));
        CHECK_EQUAL(0, cluster.entries_[old].scheduler_->signalAndWait(SIGTERM));
        cluster.setVmState(cluster.entries_[old], "");
        waitUntil("more calls are answered", [&] { return load.answeredCalls_ >= before + 20; });
    }
    load.stop();
    std::string unexpectedAnswers;
    for (const std::string& answer : load.unexpectedAnswers_)
        unexpectedAnswers += answer + "\n";
    CPPUNIT_ASSERT_EQUAL_MESSAGE(unexpectedAnswers, std::size_t { 0 }, load.unexpectedAnswers_.size());
    json executions = cluster.get(*cluster.service_, "/executions");
    CHECK(executions.size() > 60);
    for (const auto& [call, count] : executions.items())
        CPPUNIT_ASSERT_EQUAL_MESSAGE(call, 1, count.get<int>());
}
