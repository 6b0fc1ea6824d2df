// A program that lives for many times its retention and moves between VMs, with restarts and outages of the
// store: its tokens stay within its budget for as long as any VM serves it, and its claims end after its last
// turn.

#include "BudgetEscrow.h"
#include "Fuzz.h"
#include "ProgramId.h"
#include "Suite.h"

#include <algorithm>

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr std::int64_t retentionSeconds = 60;
constexpr Milliseconds retention { retentionSeconds * 1000 };
constexpr TokenCount maxTokens { 100 };
constexpr TokenCount budget { 6000 };
constexpr std::size_t vmCount = 3;

// What happens in a run, besides turns and moves.
struct Troubles {
    bool hasRestarts_ = false;
    bool hasOutages_ = false;
};

// Entry VMs with a store whose calls take no time, in steps of a second. Each step one turn begins and ends
// at most.
class Fleet {
public:
    Fleet(std::uint64_t seed, Troubles troubles)
        : random_(seed)
        , troubles_(troubles)
    {
        for (std::size_t vm = 0; vm < vmCount; ++vm)
            restart(vm);
    }

    // Lets turns begin for a time, at one VM after the other.
    void serve(int seconds)
    {
        constexpr int maxStay = 5 * retentionSeconds;
        constexpr int maxPause = retentionSeconds - 5;
        int movesAt = 0;
        int turnAt = 0;
        for (int second = 0; second < seconds; ++second) {
            if (second >= movesAt) {
                serving_ = pick(vmCount);
                movesAt = second + 1 + static_cast<int>(pick(maxStay));
            }
            if (second >= turnAt && (isStoreUp() || hasClaim(serving_))) {
                apply(serving_,
                    onTurnRequested(vms_[serving_], program_, budget, retention,
                        { TurnId { ++lastTurn_ }, maxTokens }, now()));
                turnAt = second + 1 + static_cast<int>(pick(maxPause));
            }
            makeTrouble();
            step();
        }
    }

    // Lets time pass without turns.
    void idle(int seconds)
    {
        outageEndsAt_ = 0;
        for (int second = 0; second < seconds; ++second)
            step();
    }

    TokenCount generated() const { return generated_; }
    std::size_t claims() const { return store_.size(); }
    std::size_t programsInMemory() const
    {
        return static_cast<std::size_t>(std::count_if(
            vms_.begin(), vms_.end(), [](const BudgetEscrow& vm) { return !vm.programs_.empty(); }));
    }
    /** Writes that no turn needed. */
    int renewals() const { return renewals_; }
    int granted() const { return granted_; }

private:
    MonotonicTime now() const { return MonotonicTime { Milliseconds { second_ * 1000 } }; }
    bool isStoreUp() const { return second_ >= outageEndsAt_; }
    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }
    bool hasClaim(std::size_t vm) const
    {
        auto found = vms_[vm].programs_.find(program_);
        return found != vms_[vm].programs_.end()
            && found->second.spent_ + found->second.reserved_ + maxTokens <= found->second.usable_;
    }

    void restart(std::size_t vm)
    {
        vms_[vm] = {};
        vms_[vm].writer_
            = { "vm-" + std::to_string(vm) + writerIdSeparator + std::to_string(++lastIncarnation_) };
    }

    void makeTrouble()
    {
        constexpr std::size_t secondsBetween = 150;
        constexpr std::size_t maxOutage = 100;
        if (troubles_.hasRestarts_ && pick(secondsBetween) == 0)
            restart(pick(vmCount));
        if (troubles_.hasOutages_ && isStoreUp() && pick(secondsBetween) == 0)
            outageEndsAt_ = second_ + 1 + static_cast<std::int64_t>(pick(maxOutage));
    }

    void step()
    {
        ++second_;
        for (std::size_t vm = 0; isStoreUp() && vm < vmCount; ++vm)
            apply(vm, tickEscrow(vms_[vm], false, now()));
    }

    std::vector<ClaimRecord> recordsOf(std::size_t reader, bool withOwn) const
    {
        std::vector<ClaimRecord> records;
        for (const auto& [key, record] : store_) {
            if (withOwn || record.writer_ != vms_[reader].writer_)
                records.push_back(record);
        }
        return records;
    }

    void write(std::size_t vm, const WriteClaim& effect)
    {
        constexpr std::int64_t msPerSecond = 1000;
        if (!isStoreUp())
            return apply(vm, onStoreUnavailable(vms_[vm]));
        renewals_ += effect.isNeeded_ ? 0 : 1;
        BudgetClaim claim = effect.claim_;
        claim.expiresAt_ = second_ + effect.timeToLive_.count() / msPerSecond + 1;
        const WriterId& writer = vms_[vm].writer_;
        store_[claimKey(program_, writer)] = { program_, writer, claim };
        dropExpired(vm);
        apply(vm,
            effect.isNeeded_ ? onClaimWritten(vms_[vm], program_, claim, recordsOf(vm, false), now())
                             : onClaimLowered(vms_[vm], program_));
    }

    void dropExpired(std::size_t vm)
    {
        for (const std::string& key : expiredClaims(vms_[vm], recordsOf(vm, true), second_))
            store_.erase(key);
    }

    void apply(std::size_t vm, const EscrowEffects& effects)
    {
        for (const EscrowEffect& effect : effects) {
            if (const auto* written = std::get_if<WriteClaim>(&effect))
                write(vm, *written);
            else if (std::get_if<DropClaim>(&effect))
                store_.erase(claimKey(program_, vms_[vm].writer_));
            else if (std::get_if<ReadClaims>(&effect))
                apply(vm, onClaimsRead(vms_[vm], program_, recordsOf(vm, false), second_, now()));
            else if (std::get<DecideTurn>(effect).decision_ == TurnDecision::Granted)
                endTurn(vm);
        }
    }

    void endTurn(std::size_t vm)
    {
        ++granted_;
        TokenCount used { static_cast<std::int64_t>(pick(static_cast<std::size_t>(maxTokens.value_) + 1)) };
        generated_ += used;
        apply(vm, onTurnEnded(vms_[vm], program_, maxTokens, used, now()));
    }

    Random random_;
    Troubles troubles_;
    ProgramId program_ { "program" };
    std::vector<BudgetEscrow> vms_ { vmCount };
    std::map<std::string, ClaimRecord> store_;
    std::size_t serving_ = 0;
    std::int64_t second_ = 1;
    std::int64_t outageEndsAt_ = 0;
    std::uint64_t lastTurn_ = 0;
    std::uint64_t lastIncarnation_ = 0;
    TokenCount generated_;
    int renewals_ = 0;
    int granted_ = 0;
};

} // namespace

class LongPrograms : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LongPrograms);
    CPPUNIT_TEST(budgetHoldsWhileAnyVmServesTheProgram);
    CPPUNIT_TEST(budgetHoldsWithRestarts);
    CPPUNIT_TEST(budgetHoldsWithRestartsAndOutages);
    CPPUNIT_TEST(claimsEndAfterTheLastTurn);
    CPPUNIT_TEST(renewalsAreFew);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int lifetime = 60 * retentionSeconds;
    static constexpr std::uint64_t seeds = 200;

    static void checkBudget(Troubles troubles)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            Fleet fleet(seed, troubles);
            fleet.serve(lifetime);
            CHECK(fleet.generated() <= budget);
            CHECK(fleet.granted() > 0);
        }
    }

public:
    void budgetHoldsWhileAnyVmServesTheProgram() { checkBudget({}); }
    void budgetHoldsWithRestarts() { checkBudget({ true, false }); }
    void budgetHoldsWithRestartsAndOutages() { checkBudget({ true, true }); }

    // The claims of VMs that have ended are deleted by a VM that serves another program of the partition.
    void claimsEndAfterTheLastTurn()
    {
        EscrowOptions options;
        // A VM asks again after the time to live of a claim, until those of others are out of force.
        auto timeToLive = std::chrono::duration_cast<std::chrono::seconds>(retention + options.expiryMargin_);
        int untilDropped = static_cast<int>(2 * timeToLive.count() + options.expiryGraceSeconds_) + 10;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            Fleet fleet(seed, {});
            fleet.serve(lifetime / 4);
            fleet.idle(untilDropped);
            CHECK_EQUAL(std::size_t { 0 }, fleet.claims());
            CHECK_EQUAL(std::size_t { 0 }, fleet.programsInMemory());
        }
    }

    // A claim is renewed once a minute at most, beside the claims that turns need.
    void renewalsAreFew()
    {
        constexpr int secondsPerMinute = 60;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            Fleet fleet(seed, {});
            fleet.serve(lifetime);
            CHECK(fleet.renewals() <= lifetime / secondsPerMinute);
        }
    }
};

REGISTER_SUITE(LongPrograms);
