#pragma once

/** \file
 * MemoryBudget: how much memory the callers of a VM may make it hold, and what gives way when it runs short.
 *
 * Load: callers that send many or large bodies, stop short of their end, or do not read their answers. All
 * functions are pure.
 */

#include "HttpWire.h"
#include "SocketBuffers.h"
#include "Types.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace fescue {

/** Bytes that the callers of a VM may make it hold together. */
struct MemoryBudget {
    std::size_t total_ = 0; ///< 0: without a limit.
    std::size_t forSmall_ = 0; ///< Of the total, the part that large requests cannot take.
    std::size_t forWideBuffers_ = 0; ///< Of the total, the most that wide buffers of sockets take.
    std::size_t forAnswers_
        = 0; ///< Of `forSmall_`, the part that only answers which are kept whole can take.
};

/** The budget for callers of a VM with so much memory; without a limit if it is not known. Three eighths of
 * the memory: a quarter is for the text of recent turns, an eighth for the requests of other VMs, and a
 * quarter for the process and its links to targets. */
MemoryBudget callerBudget(std::int64_t memoryMb);

/** The budget for connections and requests of other VMs: an eighth of the memory. */
MemoryBudget peerBudget(std::int64_t memoryMb);

/** The budget for those who ask for readiness or metrics. */
MemoryBudget monitoringBudget();

/** Connections of other VMs, or of those who ask for readiness or metrics; 0 (no limit) without a budget. */
std::size_t maxConnections(const MemoryBudget& budget);

/** Connections of callers on a VM with so many sockets and so much memory; 0 (no limit) if neither is known.
 * The other sockets are for targets, other VMs and the store, and half of the budget for requests. */
std::size_t maxCallerConnections(std::int64_t sockets, const MemoryBudget& budget);

/** What a connection holds without a request: its states here and in its link, and the most that its buffers
 * take. */
constexpr std::size_t costOfConnection(const SocketBuffers& buffers);

/** Bodies beyond this many bytes are large. */
constexpr std::size_t smallBodyBytes = 64 * 1024;

/** What callers make a VM hold. */
struct HeldMemory {
    std::size_t total_ = 0;
    std::size_t large_ = 0; ///< Of the total, that of requests with a large body.
    std::size_t answers_ = 0; ///< Of the total, that of answers which are kept whole, and of those not read.
};

/** What can be taken by anything. */
std::size_t sharedTotal(const MemoryBudget& budget);

/** What is taken of that. */
std::size_t sharedBytes(const MemoryBudget& budget, const HeldMemory& held);

/** Bytes that a request holds from its head until its answer: its head, `body` bytes, and their copies for
 * a target. `headerBytes` and `headers` are the size and the number of its header lines. */
std::size_t costOfRequest(std::size_t headers, std::size_t headerBytes, std::size_t body);

/** Bytes that `bytes` more in the body of a request hold. */
std::size_t costOfBody(std::size_t bytes);

/** Whether `bytes` more fit. A request that needs more than large ones may ever hold fits alone, so that each
 * is served in calm. */
bool hasRoom(const MemoryBudget& budget, const HeldMemory& held, std::size_t bytes, bool isLarge);

/** Whether `bytes` more of a buffered answer fit. Answers have a part of the budget to themselves: one
 * without room is passed on as its caller reads it, and takes a slot of its target meanwhile. */
bool hasRoomForAnswer(const MemoryBudget& budget, const HeldMemory& held, std::size_t bytes);

/** What a caller's connection does. */
enum class HolderStage {
    Idle, ///< Between two requests.
    Unfinished, ///< A request was received in part.
    Unread, ///< Its caller does not read an answer that is complete.
    Running, ///< A request that may have run; never dropped for room.
};

/** The connection of one caller. */
struct Holder {
    HolderStage stage_ = HolderStage::Idle;
    std::size_t bytes_ = 0;
    MonotonicTime lastProgress_; ///< When its last bytes were received, or sent.
    std::optional<MonotonicTime> roomSince_; ///< Since when it has room for a body that is not complete.
    bool wasServed_ = false; ///< It has received an answer.
    std::size_t connectionBytes_ = 0; ///< Of its bytes, those that it would hold without a request.
};

/** Connections to close so that `excess` bytes become free: of unfinished and idle callers, then of those
 * that do not read, the largest first. Returns indices; fewer bytes may become free. */
std::vector<std::size_t> chooseForMemory(const std::vector<Holder>& holders, std::size_t excess);

/** Connections whose unfinished requests give way to callers that wait for `bytes`, the largest first. */
std::vector<std::size_t> chooseStalled(
    const std::vector<Holder>& holders, std::size_t bytes, MonotonicTime now);

/** Connections whose callers do not read a complete answer, and that give way to callers that wait for
 * `bytes`, the largest first. */
std::vector<std::size_t> chooseUnread(
    const std::vector<Holder>& holders, std::size_t bytes, MonotonicTime now);

/** Connections whose callers do not read a complete answer, those longest without progress first, until they
 * hold `bytes`. */
std::vector<std::size_t> chooseLongestUnread(const std::vector<Holder>& holders, std::size_t bytes);

/** Whether a connection is so new that its request may have come and wait to be read. */
bool isNew(const Holder& holder, MonotonicTime now);

/** The connections that may be closed for new ones: unfinished ones that have stalled, those that never sent
 * anything, idle ones, other unfinished ones and new ones, in this order, those longest without progress
 * first. Those that are running or unread are left out. */
std::vector<std::size_t> orderForDescriptors(const std::vector<Holder>& holders, MonotonicTime now);

/** Parts of the implementation. */
namespace memory_budget {

    constexpr std::size_t bytesPerMb = 1024 * 1024;
    constexpr std::size_t memoryDivisor = 8;
    constexpr std::size_t memoryOfCallers = 3;
    constexpr std::size_t smallDivisor = 4;
    constexpr std::size_t wideDivisor = 4;
    constexpr std::size_t answersDivisor = 6;
    constexpr std::size_t connectionBytes = 4096;
    // Three of four sockets are for callers: idle ones outnumber the requests, each of which needs one to a
    // target.
    constexpr std::size_t connectionsDivisor = 4;
    constexpr std::size_t connectionsOfCallers = 3;
    // The body itself and the bytes on their way to a target, or of a second attempt.
    constexpr std::size_t bodyCopies = 2;
    // As received, as forwarded, and the vector that grows.
    constexpr std::size_t headCopies = 3;
    // The states of a request in its queue, its transfer and its connection to a target.
    constexpr std::size_t requestBytes = 4096;
    // Above the pauses of callers whose network loses a packet; callers repeat a request that ends with 408.
    constexpr Milliseconds maxStall { 500 };
    // Above the pauses of callers that read on.
    constexpr Milliseconds maxUnread { 1000 };
    // A body that is not complete after so long keeps others waiting for longer than they wait.
    constexpr Milliseconds maxBodyTime { 10000 };

    inline MemoryBudget budgetOf(std::size_t total)
    {
        return { total, total / smallDivisor, total / wideDivisor, total / answersDivisor };
    }

    inline bool hasStalled(const Holder& holder, MonotonicTime now)
    {
        if (holder.stage_ != HolderStage::Unfinished)
            return false;
        return now > holder.lastProgress_ + maxStall
            || (holder.roomSince_ && now > *holder.roomSince_ + maxBodyTime);
    }

    inline bool isUnread(const Holder& holder) { return holder.stage_ == HolderStage::Unread; }

    // Takes candidates in their order until `bytes` are free.
    inline std::vector<std::size_t> takeUntilFree(
        const std::vector<Holder>& holders, std::vector<std::size_t> candidates, std::size_t bytes)
    {
        std::size_t freed = 0;
        std::size_t taken = 0;
        while (taken < candidates.size() && freed < bytes)
            freed += holders[candidates[taken++]].bytes_;
        candidates.resize(taken);
        return candidates;
    }

    // The same, the largest first.
    inline std::vector<std::size_t> takeLargest(
        const std::vector<Holder>& holders, std::vector<std::size_t> candidates, std::size_t bytes)
    {
        auto requestBytes
            = [&](std::size_t index) { return holders[index].bytes_ - holders[index].connectionBytes_; };
        std::sort(candidates.begin(), candidates.end(), [&](std::size_t a, std::size_t b) {
            return std::tuple(requestBytes(b), a) < std::tuple(requestBytes(a), b);
        });
        return takeUntilFree(holders, std::move(candidates), bytes);
    }

    template <typename Predicate>
    inline std::vector<std::size_t> indicesWhere(
        const std::vector<Holder>& holders, const Predicate& predicate)
    {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < holders.size(); ++i) {
            if (predicate(holders[i]))
                found.push_back(i);
        }
        return found;
    }

    // The smaller, the sooner it is closed; nothing if it stays.
    inline std::optional<int> closingOrder(const Holder& holder, MonotonicTime now)
    {
        if (hasStalled(holder, now))
            return 0;
        if (isNew(holder, now))
            return 4;
        if (holder.stage_ == HolderStage::Idle)
            return holder.wasServed_ ? 2 : 1;
        if (holder.stage_ == HolderStage::Unfinished)
            return 3;
        return std::nullopt;
    }

} // namespace memory_budget

inline MemoryBudget callerBudget(std::int64_t memoryMb)
{
    using namespace memory_budget;
    if (memoryMb <= 0)
        return {};
    return budgetOf(static_cast<std::size_t>(memoryMb) * bytesPerMb / memoryDivisor * memoryOfCallers);
}

constexpr std::size_t costOfConnection(const SocketBuffers& buffers)
{
    return memory_budget::connectionBytes + costOf(buffers);
}

inline MemoryBudget peerBudget(std::int64_t memoryMb)
{
    using namespace memory_budget;
    return memoryMb > 0 ? budgetOf(static_cast<std::size_t>(memoryMb) * bytesPerMb / memoryDivisor)
                        : MemoryBudget {};
}

inline MemoryBudget monitoringBudget()
{
    constexpr std::size_t total = 2 * memory_budget::bytesPerMb;
    return { total, total, total / memory_budget::wideDivisor, 0 };
}

inline std::size_t maxConnections(const MemoryBudget& budget)
{
    constexpr std::size_t divisor = 4;
    constexpr std::size_t ofConnections = 3;
    return budget.total_ / divisor * ofConnections / costOfConnection(narrowBuffers);
}

inline std::size_t maxCallerConnections(std::int64_t sockets, const MemoryBudget& budget)
{
    using namespace memory_budget;
    constexpr std::size_t budgetDivisor = 2;
    std::size_t bySockets
        = sockets > 0 ? static_cast<std::size_t>(sockets) / connectionsDivisor * connectionsOfCallers : 0;
    std::size_t byMemory = budget.total_ / budgetDivisor / costOfConnection(narrowBuffers);
    return bySockets == 0 || byMemory == 0 ? std::max(bySockets, byMemory) : std::min(bySockets, byMemory);
}

inline std::size_t sharedTotal(const MemoryBudget& budget) { return budget.total_ - budget.forAnswers_; }

inline std::size_t sharedBytes(const MemoryBudget& budget, const HeldMemory& held)
{
    return held.total_ - std::min(held.answers_, budget.forAnswers_);
}

inline std::size_t costOfRequest(std::size_t headers, std::size_t headerBytes, std::size_t body)
{
    using namespace memory_budget;
    return requestBytes + headCopies * (headers * sizeof(HttpHeader) + headerBytes) + costOfBody(body);
}

inline std::size_t costOfBody(std::size_t bytes) { return memory_budget::bodyCopies * bytes; }

inline bool hasRoom(const MemoryBudget& budget, const HeldMemory& held, std::size_t bytes, bool isLarge)
{
    using namespace memory_budget;
    if (budget.total_ == 0)
        return true;
    std::size_t limit = isLarge ? budget.total_ - budget.forSmall_ : sharedTotal(budget);
    std::size_t taken = sharedBytes(budget, held);
    if (taken + bytes <= limit)
        return true;
    return isLarge && bytes > limit && held.large_ == 0 && taken <= budget.forSmall_;
}

inline bool hasRoomForAnswer(const MemoryBudget& budget, const HeldMemory& held, std::size_t bytes)
{
    std::size_t left = budget.forAnswers_ - std::min(budget.forAnswers_, held.answers_);
    if (bytes <= left)
        return true;
    return hasRoom(budget, held, bytes - left, bytes - left > smallBodyBytes);
}

inline std::vector<std::size_t> chooseForMemory(const std::vector<Holder>& holders, std::size_t excess)
{
    using namespace memory_budget;
    auto chosen = takeLargest(holders,
        indicesWhere(holders,
            [](const Holder& holder) {
                return holder.stage_ == HolderStage::Idle || holder.stage_ == HolderStage::Unfinished;
            }),
        excess);
    std::size_t freed = 0;
    for (std::size_t index : chosen)
        freed += holders[index].bytes_;
    if (freed >= excess)
        return chosen;
    auto unread = takeLargest(holders, indicesWhere(holders, isUnread), excess - freed);
    chosen.insert(chosen.end(), unread.begin(), unread.end());
    return chosen;
}

inline std::vector<std::size_t> chooseStalled(
    const std::vector<Holder>& holders, std::size_t bytes, MonotonicTime now)
{
    using namespace memory_budget;
    return takeLargest(holders,
        indicesWhere(holders, [now](const Holder& holder) { return hasStalled(holder, now); }), bytes);
}

inline std::vector<std::size_t> chooseUnread(
    const std::vector<Holder>& holders, std::size_t bytes, MonotonicTime now)
{
    using namespace memory_budget;
    auto isUnreadForLong
        = [now](const Holder& holder) { return isUnread(holder) && now > holder.lastProgress_ + maxUnread; };
    return takeLargest(holders, indicesWhere(holders, isUnreadForLong), bytes);
}

inline std::vector<std::size_t> chooseLongestUnread(const std::vector<Holder>& holders, std::size_t bytes)
{
    using namespace memory_budget;
    auto unread = indicesWhere(holders, isUnread);
    std::stable_sort(unread.begin(), unread.end(),
        [&](std::size_t a, std::size_t b) { return holders[a].lastProgress_ < holders[b].lastProgress_; });
    return takeUntilFree(holders, std::move(unread), bytes);
}

inline bool isNew(const Holder& holder, MonotonicTime now)
{
    return holder.stage_ == HolderStage::Idle && !holder.wasServed_
        && now <= holder.lastProgress_ + memory_budget::maxStall;
}

inline std::vector<std::size_t> orderForDescriptors(const std::vector<Holder>& holders, MonotonicTime now)
{
    using namespace memory_budget;
    std::vector<std::tuple<int, MonotonicTime, std::size_t>> candidates;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        if (auto order = closingOrder(holders[i], now))
            candidates.emplace_back(*order, holders[i].lastProgress_, i);
    }
    std::sort(candidates.begin(), candidates.end());
    std::vector<std::size_t> indices;
    indices.reserve(candidates.size());
    for (const auto& candidate : candidates)
        indices.push_back(std::get<std::size_t>(candidate));
    return indices;
}

} // namespace fescue
