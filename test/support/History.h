#pragma once

/** \file
 * History: what concurrent callers saw, and the check of it against what was really executed.
 *
 *     History history;
 *     runPrograms(cluster, history, options);           // faults may be injected meanwhile
 *     CHECK_EQUAL(std::string(), faultsOf(history.calls(), evidenceOf(cluster, history)));
 *
 * Each call carries a token of its own that the stand-ins give back, so a mixed-up answer shows.
 */

#include "Cluster.h"

#include <atomic>
#include <mutex>
#include <set>

namespace fescue::test {

/** One request and its answer, as its caller saw them. */
struct SeenCall {
    std::string program_;
    int number_ = 0;
    std::string token_;
    bool isService_ = false; ///< A call that may run at most once; else a model call.
    bool isStream_ = false;
    MonotonicTime begin_;
    MonotonicTime end_;
    HttpResult answer_;
};

/** The words of a whole answer to a model call; empty when it is not whole. */
std::string contentOf(const SeenCall& call);
/** Whether a stream shows that it broke off. */
bool showsError(const SeenCall& call);
/** Stable name of the problem that was answered, such as `call-out-of-order`; else empty. */
std::string problemOf(const HttpResult& answer);

/** Records calls. All functions are safe from any thread. */
class History {
public:
    void add(SeenCall call);
    void created(const std::string& program, std::int64_t budget);
    std::vector<SeenCall> calls() const;
    std::map<std::string, std::int64_t> budgets() const;

private:
    mutable std::mutex mutex_;
    std::vector<SeenCall> calls_;
    std::map<std::string, std::int64_t> budgets_;
};

/** What the services and engines did, and what the system holds in the end. */
struct Evidence {
    nlohmann::json journal_; ///< Executions of the service, in order.
    std::map<std::string, std::int64_t> used_; ///< Tokens that the engines computed for each program.
    std::map<std::string, std::int64_t> budgets_;
    std::map<std::string, int> lastCalls_; ///< Of the programs that are still known.
};
Evidence evidenceOf(Cluster& cluster, const History& history);

/** All violations, one a line; empty when the history is as promised. */
std::string faultsOf(const std::vector<SeenCall>& calls, const Evidence& evidence);

/** How concurrent callers behave. */
struct ChainOptions {
    std::size_t programs_ = 8;
    int calls_ = 6; ///< Of each program; every third goes to the service.
    std::uint64_t seed_ = 1;
    std::int64_t budget_ = 100000;
    std::set<std::size_t> gateways_ { 0 }; ///< Indexes of the VMs that callers use.
    std::atomic<std::size_t>* takenOut_ = nullptr; ///< Index of a VM that the balancer sends nothing to.
    std::atomic<int>* done_ = nullptr; ///< Counts the answered calls, for those who inject faults.
};

/** Runs programs side by side, one thread each. A caller repeats a call until it has the final answer, and
 * sends again what was answered but not durable and then lost. Throws when a call gets no final answer. */
void runPrograms(Cluster& cluster, History& history, const ChainOptions& options);

/** Sends one call and records it. */
SeenCall sendRecorded(Cluster& cluster, History& history, std::size_t vm, SeenCall call,
    const nlohmann::json& messages = nullptr);

/** Waits until each shard has an owner, so that none moves but by the faults of a test. */
void waitUntilSettled(Cluster& cluster);

/** Index of the VM with the newest epoch of a program's shard; the number of VMs when nobody has one. An
 * older owner may not know yet that it was overtaken. */
std::size_t ownerOf(Cluster& cluster, const std::string& program);

} // namespace fescue::test
