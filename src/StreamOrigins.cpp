#include "StreamOrigins.h"

namespace fescue {

namespace {

    void dropOldest(StreamOrigins& streams)
    {
        streams.origins_.erase(streams.oldestFirst_.front().second);
        streams.oldestFirst_.pop_front();
    }

} // namespace

void recordStream(StreamOrigins& streams, const BegunStream& stream, MonotonicTime now)
{
    if (stream.attempt_.empty() || !streams.origins_.emplace(stream.attempt_, stream.origin_).second)
        return;
    streams.oldestFirst_.emplace_back(now, stream.attempt_);
    if (streams.origins_.size() > streams.maxStreams_)
        dropOldest(streams);
}

void dropStreamsBefore(StreamOrigins& streams, MonotonicTime time)
{
    while (!streams.oldestFirst_.empty() && streams.oldestFirst_.front().first < time)
        dropOldest(streams);
}

std::optional<StreamOrigin> findOrigin(const StreamOrigins& streams, const AttemptId& attempt)
{
    auto found = streams.origins_.find(attempt);
    return found == streams.origins_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace fescue
