#include "ConfigSnapshot.h"

#include "Digest.h"

namespace fescue {

using nlohmann::json;

bool hasGap(const Config& config, LogOffset first)
{
    return first.value_ > config.lastReadOffset_.value_ + 1;
}

bool coversGap(const Config& config, const Config& snapshot, LogOffset first)
{
    return snapshot.lastReadOffset_ > config.lastReadOffset_ && !hasGap(snapshot, first);
}

std::string snapshotEntry(const Config& config)
{
    json document = toJson(config);
    std::string digest = sha256Hex(document.dump());
    return json { { "config_snapshot", std::move(document) }, { "sha256", std::move(digest) } }.dump();
}

tl::expected<Config, ManifestError> parseSnapshot(const std::string& entry)
{
    json document = json::parse(entry, nullptr, false);
    if (!document.is_object() || document.size() != 2 || !document.contains("config_snapshot")
        || !document.contains("sha256"))
        return tl::make_unexpected(ManifestError { "config", "not a snapshot" });
    const json& config = document["config_snapshot"];
    if (document["sha256"] != sha256Hex(config.dump()))
        return tl::make_unexpected(ManifestError { "config", "the digest of the snapshot does not match" });
    return parseConfig(config);
}

void scheduleNextCheck(SnapshotSchedule& schedule, MonotonicTime now, std::mt19937_64& random)
{
    std::uniform_int_distribution<std::int64_t> anyTime(
        schedule.period_.count() / 2, schedule.period_.count());
    schedule.nextCheckAt_ = now + Milliseconds { anyTime(random) };
}

bool isSnapshotDue(SnapshotSchedule& schedule, LogOffset streamEnd)
{
    bool isDue = schedule.seenEnd_ == streamEnd;
    schedule.seenEnd_ = streamEnd;
    return isDue;
}

} // namespace fescue
