#pragma once

/** \file
 * Conversation: turns whose text the system keeps, and the prompts that follow from them.
 *
 *     turn 1: input, output <-- turn 2: input, output <-- turn 3
 *                                                  ^----- turn 4
 *
 * A turn continues from at most one earlier turn, and several turns may continue from the same one. A kept
 * turn never changes, so a copy of it is as good as the original.
 */

#include "CallTags.h"

#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescue {

/** A turn that was answered completely. */
struct KeptTurn {
    AttemptId id_; ///< The attempt that was answered.
    std::vector<AttemptId> ancestors_; ///< The turns that it continues from, oldest first.
    std::string input_; ///< The body of its request.
    std::string output_; ///< The data of each event of its response, followed by a line feed.

    friend bool operator==(const KeptTurn& a, const KeptTurn& b)
    {
        return a.id_ == b.id_ && a.ancestors_ == b.ancestors_ && a.input_ == b.input_
            && a.output_ == b.output_;
    }
};

using KeptTurnPtr = std::shared_ptr<const KeptTurn>;

/** A kept turn, and until when the store certainly retains it. */
struct StoredTurn {
    KeptTurnPtr turn_;
    MonotonicTime keptUntil_;
};

/** A turn and those that it continues from, oldest first. */
using TurnChain = std::vector<StoredTurn>;

/** Bytes of the text of a turn, and of a chain. Pure. */
std::size_t textBytes(const KeptTurn& turn);
std::size_t textBytes(const TurnChain& chain);

/** The text that a target receives before the input of the next turn. Pure, like `idsOf`. */
std::string textOf(const TurnChain& chain);
std::vector<AttemptId> idsOf(const TurnChain& chain);

/** Recently used turns, bounded in bytes and time. Not thread-safe, like the functions on it. */
struct ConversationCache {
    struct Entry {
        StoredTurn stored_;
        MonotonicTime usedAt_;
        std::list<AttemptId>::iterator position_; ///< In `leastRecentFirst_`.
    };
    std::size_t maxBytes_ = 0;
    std::size_t bytes_ = 0;
    std::map<AttemptId, Entry> entries_;
    std::list<AttemptId> leastRecentFirst_;
};

/** Adds a turn, or extends the time until which it is retained. Evicts the least recently used turns beyond
 * the limit. */
void storeTurn(ConversationCache& cache, const StoredTurn& stored, MonotonicTime now);

/** Finds a turn; null if the cache does not have it. */
const StoredTurn* findTurn(ConversationCache& cache, const AttemptId& id, MonotonicTime now);

/** Finds a turn and all of its ancestors; nothing if the cache lacks one of them. */
std::optional<TurnChain> findChain(ConversationCache& cache, const AttemptId& id, MonotonicTime now);

/** Evicts the turns that were not used since a time. */
void evictUnused(ConversationCache& cache, MonotonicTime since);

} // namespace fescue
