#pragma once

/** \file
 * ShardSimulator: several owners of one shard over one log in memory, driven step by step.
 *
 * A step is four small numbers, so any list of them is a schedule that can be generated, shrunk and
 * repeated. The world carries out the effects as the daemons do and tells the oracle what it sees.
 */

#include "ProgramLifecycle.h"
#include "ShardOracle.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace fescue::test {

/** A rule that the driver itself breaks, to show that the oracle sees it. */
enum class Mutant {
    None,
    HidesClaims, ///< An owner is not shown the claims of others.
    ConfirmsUnread, ///< An owner is told that its batch is in the log before it is.
    SendsRefused, ///< A call goes out although it was reported as not sent.
    IgnoresSendDeadline, ///< A call goes out after its deadline.
    MixesHistories, ///< A record's messages are those of another program.
    UnderreportsUse, ///< A run is reported as having used nothing.
    SkipsEntries, ///< A reader leaves entries out.
    DropsAnswers, ///< A reply does not reach its caller.
    OmitsEarlierAttempts, ///< A refusal doesn't say that an earlier request may have run.
    RefusesAndSends, ///< A request goes out all the same after its refusal.
    DelaysRefusals, ///< A refusal is given some steps after its decision.
};

/** One step: what happens, to which owner, and two arguments whose meaning depends on it. */
struct Step {
    int kind_ = 0;
    int owner_ = 0;
    int a_ = 0;
    int b_ = 0;
};

/** Kinds of steps; `Step::kind_` counts from 0. */
constexpr int stepKinds = 20;
/** Numbers for `Step::owner_`. */
constexpr int ownerSelectors = 9;

/** An execution that an owner has been asked for. */
struct Execution {
    ExecuteCall execute_;
    std::string message_; ///< Model calls: the messages that the target gets.
    std::optional<std::size_t> sentCall_;
};

/** A process that may own the shard. */
struct Owner {
    Shard shard_;
    VmId vm_;
    WriterId writer_;
    bool isFrozen_ = false;
    std::vector<Execution> executions_;
};

/** The item that a step's argument means; null when there is none. */
template <typename Item> Item* pick(std::vector<Item>& items, int index)
{
    return items.empty() ? nullptr : &items[static_cast<std::size_t>(index) % items.size()];
}

/** A message of a program's history; its text begins with the program, so that the oracle sees mixtures. */
nlohmann::json historyMessage(const char* role, const ProgramId& program, const std::string& text);

/** The world. Not safe for several threads. */
class ShardSimulator {
public:
    explicit ShardSimulator(Mutant mutant = Mutant::None);

    /** Carries out one step. */
    void run(const Step& step);
    /** Lets time go on with a working log until all is answered, and judges the end. */
    void runToCompletion();

    ShardOracle oracle_;
    std::map<std::string, std::uint64_t> stats_; ///< How often each thing of note has come about.

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
    void append(Owner& owner, int fate);
    void appendToLog(const Batch& batch);
    void deliverDelayed(int a);
    void read(Owner& owner, int most);
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
    std::set<RequestId> unanswered_; ///< Calls that no owner has answered.
    std::map<RequestId, Problem> delayedRefusals_; ///< What a mutant holds back.
    std::map<std::string, nlohmann::json> histories_; ///< Messages that end with the answer of this body.
    std::uint64_t lastRequest_ = 0;
    std::uint64_t lastProgram_ = 0;
    std::uint64_t lastAnswer_ = 0;
};

} // namespace fescue::test
