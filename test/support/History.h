#pragma once

/** \file
 * History: records what concurrent callers saw and checks it against what was executed.
 *
 *     History history;
 *     runPrograms(cluster, history, options);         // the test may inject faults concurrently
 *     CHECK_EQUAL(std::string(), findViolations(history.calls(), collectEvidence(cluster, history)));
 *
 * Each call carries a unique token that the stand-ins echo, so an answer to another call is detected.
 */

#include "Cluster.h"

#include <atomic>
#include <mutex>
#include <set>

namespace fescue::test {

/** One request and its answer, as the caller saw them. */
struct RecordedCall {
    std::string program_;
    int number_ = 0;
    std::string token_;
    bool isService_ = false; ///< A service call, which may run at most once; otherwise a model call.
    bool isStream_ = false;
    MonotonicTime begin_;
    MonotonicTime end_;
    HttpResult answer_;
};

/** Returns the content of a complete answer to a model call; empty when the answer is incomplete. */
std::string contentOf(const RecordedCall& call);
/** Returns whether a stream ended with an error event. */
bool hasErrorEvent(const RecordedCall& call);
/** Returns the problem type of an error answer, such as `call-out-of-order`; otherwise empty. */
std::string problemOf(const HttpResult& answer);

/** Records calls and programs. All functions are thread-safe. */
class History {
public:
    void add(RecordedCall call);
    void recordProgram(const std::string& program, std::int64_t budget);
    std::vector<RecordedCall> calls() const;
    std::map<std::string, std::int64_t> budgets() const;

private:
    mutable std::mutex mutex_;
    std::vector<RecordedCall> calls_;
    std::map<std::string, std::int64_t> budgets_;
};

/** What the service and the engines executed, and the final state of the programs. */
struct Evidence {
    nlohmann::json journal_; ///< Executions of the service, in order.
    std::map<std::string, std::int64_t> usedTokens_; ///< Tokens that the engines computed for each program.
    std::map<std::string, std::int64_t> budgets_;
    std::map<std::string, int> lastCalls_; ///< By program; -1 when no gateway knows the program.
};
Evidence collectEvidence(Cluster& cluster, const History& history);

/** Returns all violations of the guarantees, one per line; empty when there are none. */
std::string findViolations(const std::vector<RecordedCall>& calls, const Evidence& evidence);

/** How concurrent callers behave. */
struct CallerOptions {
    std::size_t programs_ = 8;
    int calls_ = 6; ///< Per program; every third call goes to the service.
    std::uint64_t seed_ = 1;
    std::int64_t budget_ = 100000;
    std::set<std::size_t> gateways_ { 0 }; ///< Indexes of the VMs that the callers use.
    std::atomic<std::size_t>* drainingVm_ = nullptr; ///< Index of a VM that the load balancer excludes.
    /** If set, each caller runs one program after another until this is true, and at least one. */
    std::atomic<bool>* mayEnd_ = nullptr;
    std::atomic<int>* answeredCalls_ = nullptr; ///< Incremented per answered call, to time faults.
};

/** Runs programs concurrently, one thread each. A caller retries each call until it has the final answer, and
 * sends calls again that were answered but lost before they were durable. Throws `std::runtime_error` when a
 * call gets no final answer within a minute. */
void runPrograms(Cluster& cluster, History& history, const CallerOptions& options);

/** Sends one call and records it. */
RecordedCall sendRecorded(Cluster& cluster, History& history, std::size_t vm, RecordedCall call,
    const nlohmann::json& messages = nullptr);

/** Waits until each shard has an owner. After that, shards move only when a test injects faults. */
void waitUntilAllShardsOwned(Cluster& cluster);

/** Returns the index of the VM with the highest epoch of a program's shard, or the number of VMs when there
 * is none. A previous owner may not know yet that it was replaced, so several VMs may report an epoch. */
std::size_t ownerOf(Cluster& cluster, const std::string& program);

} // namespace fescue::test
