#include "ProcessSoakTarget.h"

#include "BootClock.h"
#include "FreePort.h"
#include "ProcessSoakHistory.h"

#include <chrono>
#include <csignal>
#include <fmt/format.h>

namespace fescue::test {

namespace {

    constexpr Milliseconds reportInterval { 400 };
    constexpr Milliseconds entryLapse { 3 * reportInterval };
    constexpr Milliseconds drainTime { 2000 }; // `drain-ms` of the VMs' settings.
    constexpr int newIdPercent = 70;
    constexpr int newVersionPercent = 30;

    std::int64_t unixMilliseconds()
    {
        auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

} // namespace

ProcessSoakTarget::ProcessSoakTarget(
    asio::io_context& io, standin::PlatformStore& store, const Place& place, std::uint64_t seed)
    : store_(store)
    , place_(place)
    , random_(seed)
    , port_(findFreePort(io))
    , logFile_(place.folder_ + "/" + place.name_ + ".log")
    , id_("i-" + place.name_ + "-1")
{
}

bool ProcessSoakTarget::draw(int percent)
{
    return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
}

void ProcessSoakTarget::start(const std::vector<std::string>& flags)
{
    startAt_.reset();
    ++starts_;
    born_ = unixMilliseconds();
    reports_ = 0;
    isLeaving_ = false;
    constexpr int minGap = 4;
    constexpr int maxGap = 40;
    std::vector<std::string> arguments = flags;
    arguments.insert(arguments.end(), place_.flags_.begin(), place_.flags_.end());
    arguments.push_back(fmt::format("--listen=127.0.0.1:{}", port_));
    arguments.push_back("--id=" + id_);
    arguments.push_back(fmt::format("--label={}/{}/{}", place_.service_, place_.version_, id_));
    arguments.push_back("--name_path");
    arguments.push_back("--log_runs");
    arguments.push_back(fmt::format("--events={}", processSoakEvents));
    arguments.push_back(fmt::format("--answer_bytes={}", processSoakAnswerBytes));
    arguments.push_back(
        fmt::format("--gap_ms={}", std::uniform_int_distribution<int>(minGap, maxGap)(random_)));
    process_ = std::make_unique<Process>("standin-target", arguments, 0, logFile_);
    nextReport_ = bootNow();
}

void ProcessSoakTarget::chooseNextStart()
{
    bool hasNewId = draw(newIdPercent);
    bool hasNewVersion = draw(newVersionPercent) && (hasNewId || place_.changesVersionUnderOneId_);
    if (hasNewId)
        id_ = fmt::format("i-{}-{}", place_.name_, starts_ + 1);
    if (hasNewVersion)
        place_.version_ = place_.version_ == "v1" ? "v2" : "v1";
}

void ProcessSoakTarget::handleEnd(MonotonicTime now)
{
    bool hasLeft = isLeaving_ && !stopAt_;
    resumeAt_.reset();
    stopAt_.reset();
    startAt_ = now + downFor_;
    if (hasLeft) {
        store_.put("keyed.servers", id_, "");
        reportedAt_.erase(id_);
    }
    chooseNextStart();
}

void ProcessSoakTarget::end(int signal, Milliseconds downFor)
{
    if (!process_->isRunning())
        return;
    downFor_ = downFor;
    process_->signal(signal);
    if (signal != SIGKILL)
        return; // `tick` notices its end.
    process_->signalAndWait(signal);
    handleEnd(bootNow());
}

void ProcessSoakTarget::startEndingItself(
    const std::string& endPoint, const std::string& endKind, Milliseconds downFor)
{
    end(SIGKILL, downFor);
    constexpr int maxEvent = processSoakEvents;
    int event = endPoint == "after-last-event" ? maxEvent
                                               : std::uniform_int_distribution<int>(1, maxEvent - 1)(random_);
    start({ "--end_point=" + endPoint, "--end_kind=" + endKind, fmt::format("--end_at_event={}", event) });
}

void ProcessSoakTarget::pause(Milliseconds time, bool isKilledThen, Milliseconds downFor)
{
    if (!process_->isRunning())
        return;
    process_->signal(SIGSTOP);
    isKilledAfterPause_ = isKilledThen;
    downFor_ = downFor;
    resumeAt_ = bootNow() + time;
}

void ProcessSoakTarget::leave(Milliseconds downFor)
{
    if (!process_->isRunning() || isLeaving_)
        return;
    isLeaving_ = true;
    downFor_ = downFor;
    nextReport_ = bootNow();
    stopAt_ = bootNow() + drainTime;
}

void ProcessSoakTarget::heal()
{
    isKilledAfterPause_ = false;
    if (resumeAt_)
        resumeAt_ = bootNow();
    if (startAt_)
        startAt_ = bootNow();
    downFor_ = Milliseconds { 0 };
}

void ProcessSoakTarget::tick(MonotonicTime now, bool isStoreDown)
{
    if (resumeAt_ && now >= *resumeAt_) {
        resumeAt_.reset();
        if (isKilledAfterPause_)
            end(SIGKILL, downFor_);
        else
            process_->signal(SIGCONT);
    }
    if (stopAt_ && now >= *stopAt_) {
        stopAt_.reset();
        process_->signal(SIGTERM);
    }
    if (!startAt_ && process_->tryReap())
        handleEnd(now);
    if (startAt_ && now >= *startAt_)
        start();
    if (isStoreDown)
        return;
    bool isSilent = startAt_ || resumeAt_;
    if (!isSilent && now >= nextReport_)
        report(now);
    removeLapsedEntries(now);
}

void ProcessSoakTarget::report(MonotonicTime now)
{
    nextReport_ = now + reportInterval;
    reportedAt_[id_] = now;
    store_.put("keyed.servers", id_,
        fmt::format(
            R"({{"service":"{}","address":"127.0.0.1:{}","zone":"{}","version":"{}","slots":12,"state":"{}","seq":{},"born":{}}})",
            place_.service_, port_, place_.zone_, place_.version_, isLeaving_ ? "draining" : "ready",
            ++reports_, born_));
}

void ProcessSoakTarget::removeLapsedEntries(MonotonicTime now)
{
    for (auto entry = reportedAt_.begin(); entry != reportedAt_.end();) {
        if (now < entry->second + entryLapse) {
            ++entry;
            continue;
        }
        store_.put("keyed.servers", entry->first, "");
        entry = reportedAt_.erase(entry);
    }
}

} // namespace fescue::test
