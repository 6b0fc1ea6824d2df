// ProgramSizeBench: size of a program in the memory of its owner and in a snapshot.
//
// It runs programs with several turns through the decision logic of a shard, counts the allocated heap bytes,
// and prints the mean per program: active (ledger and active program) and evicted (ledger and tranche).

#include "ShardBench.h"

#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>

namespace {

using namespace fescue;
using namespace fescue::test;

constexpr int programs = 200;
constexpr std::size_t answerBytes = 1400; ///< About 340 tokens.

std::size_t allocated()
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void runTurn(ShardBench& bench, BenchOwner& owner, const std::string& program, std::uint32_t number,
    nlohmann::json& history)
{
    history.push_back({ { "role", "user" }, { "content", "next" } });
    Call call { { number }, { "w" }, { program }, { number }, CallKind::Model, std::string(64, 'f'),
        history.dump(), { 100 }, { 400 } };
    Effects effects = admitCall(owner.shard_, call, bench.context());
    if (!ShardBench::find<ExecuteCall>(effects))
        effects = bench.flush(owner);
    nlohmann::json answer { { "role", "assistant" }, { "content", std::string(answerBytes, 'a') } };
    history.push_back(answer);
    ExecutionResult result;
    result.kind_ = ExecutionResult::Kind::Answered;
    result.outcome_ = { 200, "application/json", answer.dump(), RunState::Final };
    result.answerMessage_ = answer.dump();
    const auto& execute = ShardBench::require<ExecuteCall>(effects);
    finishCall(owner.shard_, call.program_, execute.execution_, result, bench.context());
}

void runProgram(ShardBench& bench, BenchOwner& owner, const std::string& program, std::uint32_t turns)
{
    bench.create(owner, program);
    nlohmann::json history = nlohmann::json::array();
    for (std::uint32_t number = 1; number <= turns; ++number)
        runTurn(bench, owner, program, number, history);
    bench.flush(owner);
    for (Batch& batch : bench.log_)
        batch = Batch {};
}

void measure(std::uint32_t turns)
{
    ShardBench bench;
    BenchOwner owner { "kalamaris-entry-1" };
    bench.claim(owner);
    std::size_t logBefore = bench.log_.capacity() * sizeof(Batch);
    std::size_t before = allocated();
    for (int i = 0; i < programs; ++i)
        runProgram(bench, owner, "gr-central-a.17.lq3k9x2f.9f86d08188" + std::to_string(100000 + i), turns);
    std::size_t logGrowth = bench.log_.capacity() * sizeof(Batch) - logBefore;
    std::size_t active = allocated() - before - logGrowth;
    bench.now_ += bench.limits_.evictAfter_;
    owner.shard_.snapshotAt_ = owner.shard_.ledger_.lastReadOffset_;
    owner.shard_.snapshotTime_ = bench.now_;
    tickShard(owner.shard_, bench.context());
    std::size_t evicted = allocated() - before - logGrowth;
    std::cout << turns << ' ' << active / programs << ' ' << evicted / programs << ' '
              << toJsonText(owner.shard_.ledger_).size() / programs << std::endl;
}

} // namespace

int main()
{
    std::cout << "turns bytes_active bytes_evicted bytes_in_snapshot\n";
    for (std::uint32_t turns : { 0U, 1U, 4U, 53U })
        measure(turns);
    return 0;
}
