#include "Conversation.h"

#include <algorithm>

namespace fescue {

namespace {

    // Of the containers that hold an entry, and of its id.
    constexpr std::size_t entryOverheadBytes = 320;

    std::size_t sizeOf(const KeptTurn& turn)
    {
        std::size_t bytes = entryOverheadBytes + textBytes(turn);
        for (const AttemptId& ancestor : turn.ancestors_)
            bytes += sizeof(AttemptId) + ancestor.value_.size();
        return bytes;
    }

    void evictLeastRecent(ConversationCache& cache)
    {
        auto entry = cache.entries_.find(cache.leastRecentFirst_.front());
        cache.bytes_ -= sizeOf(*entry->second.stored_.turn_);
        cache.entries_.erase(entry);
        cache.leastRecentFirst_.pop_front();
    }

} // namespace

std::size_t textBytes(const KeptTurn& turn) { return turn.input_.size() + turn.output_.size(); }

std::size_t textBytes(const TurnChain& chain)
{
    std::size_t bytes = 0;
    for (const StoredTurn& stored : chain)
        bytes += textBytes(*stored.turn_);
    return bytes;
}

std::string textOf(const TurnChain& chain)
{
    std::string text;
    text.reserve(textBytes(chain));
    for (const StoredTurn& stored : chain) {
        text += stored.turn_->input_;
        text += stored.turn_->output_;
    }
    return text;
}

std::vector<AttemptId> idsOf(const TurnChain& chain)
{
    std::vector<AttemptId> ids;
    ids.reserve(chain.size());
    for (const StoredTurn& stored : chain)
        ids.push_back(stored.turn_->id_);
    return ids;
}

void storeTurn(ConversationCache& cache, const StoredTurn& stored, MonotonicTime now)
{
    auto known = cache.entries_.find(stored.turn_->id_);
    if (known != cache.entries_.end()) {
        MonotonicTime& keptUntil = known->second.stored_.keptUntil_;
        keptUntil = std::max(keptUntil, stored.keptUntil_);
        findTurn(cache, stored.turn_->id_, now);
        return;
    }
    std::size_t size = sizeOf(*stored.turn_);
    if (size > cache.maxBytes_)
        return; // It would displace everything else; the store has it.
    while (cache.bytes_ + size > cache.maxBytes_)
        evictLeastRecent(cache);
    cache.bytes_ += size;
    auto position = cache.leastRecentFirst_.insert(cache.leastRecentFirst_.end(), stored.turn_->id_);
    cache.entries_.emplace(stored.turn_->id_, ConversationCache::Entry { stored, now, position });
}

const StoredTurn* findTurn(ConversationCache& cache, const AttemptId& id, MonotonicTime now)
{
    auto found = cache.entries_.find(id);
    if (found == cache.entries_.end())
        return nullptr;
    ConversationCache::Entry& entry = found->second;
    entry.usedAt_ = now;
    cache.leastRecentFirst_.splice(cache.leastRecentFirst_.end(), cache.leastRecentFirst_, entry.position_);
    return &entry.stored_;
}

std::optional<TurnChain> findChain(ConversationCache& cache, const AttemptId& id, MonotonicTime now)
{
    const StoredTurn* last = findTurn(cache, id, now);
    if (!last)
        return std::nullopt;
    TurnChain chain;
    chain.reserve(last->turn_->ancestors_.size() + 1);
    for (const AttemptId& ancestor : last->turn_->ancestors_) {
        const StoredTurn* stored = findTurn(cache, ancestor, now);
        if (!stored)
            return std::nullopt;
        chain.push_back(*stored);
    }
    chain.push_back(*last);
    return chain;
}

void evictUnused(ConversationCache& cache, MonotonicTime since)
{
    while (!cache.leastRecentFirst_.empty()
        && cache.entries_.at(cache.leastRecentFirst_.front()).usedAt_ < since)
        evictLeastRecent(cache);
}

} // namespace fescue
