#pragma once

/** \file
 * ShardSimulator: several owners of one shard with an in-memory log, run step by step.
 *
 * A step is four small numbers, so any list of steps is a schedule that can be generated, shrunk and
 * repeated. The simulator handles the effects as the daemons do and reports the events to the oracle.
 */

#include "ProgramLifecycle.h"
#include "ShardOracle.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace fescue::test {

/** A fault that the simulator injects, to show that the oracle detects it. */
enum class Mutant {
    None,
    HidesClaims, ///< An owner is not shown the claims of others.
    ConfirmsUnread, ///< An owner is told that its batch is in the log before it is.
    SendsRefused, ///< A call is sent although it was reported as not sent.
    IgnoresSendDeadline, ///< A call is sent after its deadline.
    MixesHistories, ///< A record has the messages of another program.
    UnderreportsUse, ///< A call is reported as having used no tokens.
    SkipsEntries, ///< A reader skips entries.
    DropsAnswers, ///< A reply does not reach its caller.
    OmitsEarlierAttempts, ///< A refusal doesn't say that an earlier request may have run.
    RefusesAndSends, ///< A request is sent after its refusal.
    DelaysRefusals, ///< A refusal is delivered some steps after its decision.
};

/** One step: its kind, the owner, and two arguments whose meaning depends on the kind. */
struct Step {
    int kind_ = 0;
    int owner_ = 0;
    int a_ = 0;
    int b_ = 0;
};

/** Number of step kinds; `Step::kind_` counts from 0. */
constexpr int stepKinds = 20;
/** Number of values of `Step::owner_`; see `ownerOf`. */
constexpr int ownerSelectors = 9;

/** An execution that an owner has requested. */
struct Execution {
    ExecuteCall execute_;
    std::string message_; ///< Model calls: the messages sent to the target.
    std::optional<std::size_t> sentCall_;
};

/** A process that can own the shard. */
struct Owner {
    Shard shard_;
    VmId vm_;
    WriterId writer_;
    bool isFrozen_ = false;
    std::vector<Execution> executions_;
};

/** Returns the item that a step's argument selects; null if there are none. */
template <typename Item> Item* pick(std::vector<Item>& items, int index)
{
    return items.empty() ? nullptr : &items[static_cast<std::size_t>(index) % items.size()];
}

/** A message of a program's history. Its text starts with the program's id, so that the oracle detects mixed
 * histories. */
nlohmann::json historyMessage(const char* role, const ProgramId& program, const std::string& text);

/** The simulator. Not thread-safe. */
class ShardSimulator {
public:
    explicit ShardSimulator(Mutant mutant = Mutant::None);

    /** Runs one step. */
    void run(const Step& step);
    /** Advances the time with a working log until all requests are answered, then checks the final state. */
    void runToCompletion();

    ShardOracle oracle_;
    std::map<std::string, std::uint64_t> stats_; ///< Number of occurrences of each event.

private:
    struct Client {
        ProgramId program_;
        std::map<CallNumber, nlohmann::json> histories_; ///< Messages after each answered call.
        CallNumber last_;
    };
    struct Entry {
        Batch batch_;
        MonotonicTime appendedAt_;
    };

    Owner& ownerOf(int number);
    void pauseAndTakeOver(Owner& paused, int a, int b);
    void submitCall(Owner& owner, int a, int b);
    void create(Owner& owner, int a);
    void end(Owner& owner, int a);
    void append(Owner& owner, int outcome);
    void appendToLog(const Batch& batch);
    void deliverDelayed(int a);
    void read(Owner& owner, int maxEntries);
    void confirmUnread(Owner& owner, const Batch& batch);
    void claim(Owner& owner);
    void forget(Owner& owner);
    void send(Owner& owner, int a);
    void answer(Owner& owner, int a, int b);
    void tick(Owner& owner);
    std::size_t expiredEntryCount() const;
    void readEntry(Owner& owner, LogOffset offset);
    Ledger foldAll(std::uint64_t end) const;
    void checkReaders();
    void checkNoAnswerDelayed();
    void step(const Step& step);
    void sendProblem(Owner& owner, RequestId request, const Problem& problem);
    void handleEffects(Owner& owner, const Effects& effects);
    void handle(Owner& owner, const ReplyProblem& reply);
    void handle(Owner&, const ReplyOutcome& reply);
    void handle(Owner& owner, const ReplyFromLog& reply);
    void handle(Owner&, const ReplyMoved& reply);
    void handle(Owner&, const ReplyProgram& reply);
    void handle(Owner& owner, const ExecuteCall& execute);
    void handle(Owner& owner, const CancelCall& cancel);
    void handle(Owner& owner, const AttachRequest& attach);
    void handle(Owner&, const ReleaseCache&) { }
    void forgetClient(const ProgramId& program);
    bool dropsAnswer();
    Call makeCall(const Client& client, int a, int b);
    ShardContext context() const { return { now_, limits_ }; }
    RequestId nextRequest() { return { ++lastRequest_ }; }

    Mutant mutant_;
    ShardLimits limits_;
    MonotonicTime now_;
    bool isLogUp_ = true;
    std::vector<Owner> owners_;
    std::vector<Entry> log_;
    std::vector<Batch> delayedBatches_;
    std::vector<Client> clients_;
    std::map<RequestId, Call> calls_;
    std::map<RequestId, EndProgram> ends_;
    std::set<RequestId> unanswered_; ///< Requests that no owner has answered.
    std::map<RequestId, Problem> delayedRefusals_; ///< Refusals delayed by `DelaysRefusals`.
    std::map<std::string, nlohmann::json> histories_; ///< Histories by the body of their last answer.
    std::uint64_t lastRequest_ = 0;
    std::uint64_t lastProgram_ = 0;
    std::uint64_t lastAnswer_ = 0;
};

} // namespace fescue::test
