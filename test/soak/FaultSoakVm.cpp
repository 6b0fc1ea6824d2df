#include "FaultSoakVm.h"

#include "BootClock.h"
#include "FreePort.h"
#include "HostLimits.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <deque>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <unistd.h>
#include <utility>

namespace fescue::test {

namespace {

    // `grace-s` of the settings (6 s) plus a margin for a busy machine.
    constexpr Milliseconds stopTimeout { 7000 };
    constexpr Milliseconds restartDelay { 100 };
    // Signals keep their default effect until the loader is done; this is long for a busy machine.
    constexpr Milliseconds loadTime { 1000 };
    constexpr Milliseconds sampleInterval { 1000 };
    constexpr Milliseconds checkInterval { 100 };
    constexpr double maxCores = 0.5;
    constexpr std::uint64_t memoryMb = 260;
    constexpr std::uint64_t bytesPerMb = 1024 * 1024;
    constexpr std::size_t quotedLogLines = 8;
    constexpr int ok = 200;

    // Time of the processor that a process has used, in seconds.
    double processorSecondsOf(pid_t process)
    {
        std::ifstream file(fmt::format("/proc/{}/stat", process));
        std::string text;
        std::getline(file, text);
        std::istringstream words(text.substr(std::min(text.rfind(')') + 1, text.size())));
        constexpr int wordsBefore = 11;
        std::string word;
        for (int i = 0; i < wordsBefore; ++i)
            words >> word;
        double user = 0;
        double system = 0;
        words >> user >> system;
        return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    }

} // namespace

FaultSoakVm::FaultSoakVm(asio::io_context& io, standin::PlatformStore& store, std::string name,
    std::string zone, const std::string& folder, ChooseProgram chooseProgram)
    : name_(std::move(name))
    , zone_(std::move(zone))
    , callerPort_(findFreePort(io))
    , readyPort_(findFreePort(io))
    , peerPort_(findFreePort(io))
    , storePort_(store.addView([](const std::string&, const std::string& value) { return value; }))
    , storeProxy_(std::make_unique<SoakProxy>(io, storePort_))
    , settingsFile_(folder + "/" + name_ + ".yaml")
    , logFile_(folder + "/" + name_ + ".log")
    , chooseProgram_(std::move(chooseProgram))
    , readinessChecks_(io)
{
    writeSettings(0, false);
}

// The file is replaced at once; only a cut one is incomplete.
void FaultSoakVm::writeSettings(std::size_t form, bool isCut)
{
    constexpr int drainMs = 2000;
    constexpr int otherDrainMs = 1500;
    form_ = form;
    isCut_ = isCut;
    std::string text
        = fmt::format("node-name: {}\nip: 127.0.0.1\nzone: {}\nport-range: [ {}, 0 ]\nheartbeat-ms: 1000\n"
                      "listen: {{ frontend: '127.0.0.1:{}', ready: '127.0.0.1:{}' }}\n"
                      "limits: {{ cpu-quota: 0.5, memory-mb: {} }}\n"
                      "bounds: {{ drain-ms: {}, grace-s: 6, config-apply-ms: 2000, settle-ms: 1000 }}\n"
                      "platform: {{ address: '127.0.0.1:{}', parts: 2 }}\n",
            name_, zone_, peerPort_, callerPort_, readyPort_, memoryMb,
            form % 2 == 0 ? drainMs : otherDrainMs, storeProxy_->port());
    if (form / 2 % 2 == 1)
        text = "---\n# Written again.\n" + text + "...\n";
    if (isCut)
        text.resize(text.size() / 2);
    std::string next = settingsFile_ + ".next";
    std::ofstream(next) << text;
    std::rename(next.c_str(), settingsFile_.c_str());
}

void FaultSoakVm::start()
{
    startAt_.reset();
    ++starts_;
    Run run;
    run.startedAt_ = run.sampledAt_ = bootNow();
    run.process_ = std::make_unique<Process>(
        chooseProgram_(), std::vector<std::string> { "--settings=" + settingsFile_ }, 0, logFile_);
    runs_.push_back(std::move(run));
}

void FaultSoakVm::kill(Milliseconds downFor)
{
    for (Run& run : runs_) {
        int status = run.process_->signalAndWait(SIGKILL);
        std::string end = status == -SIGKILL ? std::string() : judgeEnd(run);
        if (!end.empty())
            ownEnds_.push_back(end);
    }
    runs_.clear();
    resumeAt_.reset();
    startAt_ = bootNow() + downFor;
}

void FaultSoakVm::pause(Milliseconds time)
{
    if (runs_.empty() || resumeAt_)
        return;
    runs_.back().process_->signal(SIGSTOP);
    resumeAt_ = bootNow() + time;
}

void FaultSoakVm::stop(bool startsAtOnce)
{
    if (runs_.empty() || runs_.back().stoppedAt_ || resumeAt_)
        return;
    runs_.back().process_->signal(SIGTERM);
    runs_.back().stoppedAt_ = bootNow();
    if (startsAtOnce)
        start();
}

void FaultSoakVm::reload(std::size_t form, bool isCut)
{
    writeSettings(form, isCut);
    if (runs_.empty())
        return;
    runs_.back().process_->signal(SIGHUP);
    if (!runs_.back().reloadedAt_)
        runs_.back().reloadedAt_ = bootNow();
}

void FaultSoakVm::resume(MonotonicTime now)
{
    resumeAt_.reset();
    for (Run& run : runs_) {
        run.process_->signal(SIGCONT);
        if (run.stoppedAt_)
            run.stoppedAt_ = now; // The grace period restarts when the process resumes.
    }
}

void FaultSoakVm::heal()
{
    if (resumeAt_)
        resumeAt_ = bootNow();
    if (startAt_)
        startAt_ = bootNow();
    if (isCut_)
        reload(form_, false);
    storeProxy_->faults() = {};
}

std::vector<std::string> FaultSoakVm::tick(MonotonicTime now)
{
    std::vector<std::string> violations = std::exchange(ownEnds_, {});
    if (resumeAt_ && now >= *resumeAt_)
        resume(now);
    readinessChecks_.tick(now);
    if (isChecked_ && readiness_ != ok && now >= nextCheckAt_)
        sendReadinessCheck(now);
    bool hadRun = !runs_.empty();
    for (Run& run : runs_)
        judge(run, now, violations);
    runs_.erase(
        std::remove_if(runs_.begin(), runs_.end(), [](const Run& run) { return !run.process_->isRunning(); }),
        runs_.end());
    if (hadRun && !startAt_ && runs_.empty())
        startAt_ = now + restartDelay;
    if (startAt_ && now >= *startAt_)
        start();
    return violations;
}

void FaultSoakVm::judge(Run& run, MonotonicTime now, std::vector<std::string>& violations)
{
    std::string found;
    if (run.process_->tryReap()) {
        found = judgeEnd(run);
    } else if (run.stoppedAt_ && !resumeAt_ && now >= *run.stoppedAt_ + stopTimeout) {
        run.process_->signalAndWait(SIGKILL);
        found = violation("did not exit within its grace period");
    } else if (now >= run.sampledAt_ + sampleInterval) {
        found = sample(run, now);
    }
    if (!found.empty())
        violations.push_back(found);
}

std::string FaultSoakVm::judgeEnd(const Run& run) const
{
    int status = run.process_->exitStatus();
    auto wasLoading = [&run](const std::optional<MonotonicTime>& signalledAt) {
        return signalledAt && *signalledAt < run.startedAt_ + loadTime;
    };
    bool hasStopped = status == 0 && run.stoppedAt_;
    if (hasStopped || (status == -SIGTERM && wasLoading(run.stoppedAt_))
        || (status == -SIGHUP && wasLoading(run.reloadedAt_)))
        return {};
    return violation(
        fmt::format("{}, status {}", run.stoppedAt_ ? "ended while it stopped" : "ended by itself", status));
}

std::string FaultSoakVm::sample(Run& run, MonotonicTime now)
{
    constexpr double msPerSecond = 1000;
    double used = processorSecondsOf(run.process_->id());
    std::uint64_t bytes = statusBytes(run.process_->id(), "VmRSS");
    double seconds = static_cast<double>((now - run.sampledAt_).count()) / msPerSecond;
    double cores = (used - run.processorSeconds_) / seconds;
    run.sampledAt_ = now;
    run.processorSeconds_ = used;
    mostCores_ = std::max(mostCores_, cores);
    mostBytes_ = std::max(mostBytes_, bytes);
    if (cores > maxCores)
        return violation(fmt::format("used {:.2f} of a core for {:.1f} s", cores, seconds));
    if (bytes > memoryMb * bytesPerMb)
        return violation(fmt::format("held {} MB of {}", bytes / bytesPerMb, memoryMb));
    return {};
}

void FaultSoakVm::checkReadiness()
{
    readiness_ = 0;
    isChecked_ = true;
    nextCheckAt_ = {};
}

void FaultSoakVm::sendReadinessCheck(MonotonicTime now)
{
    nextCheckAt_ = now + checkInterval;
    OutboundRequest request;
    request.peer_ = { asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(readyPort_) };
    request.head_.method_ = "GET";
    request.head_.target_ = "/readyz";
    request.head_.headers_ = { { "Host", "h.example" } };
    constexpr Milliseconds connectTimeout { 1000 };
    request.connectTimeout_ = connectTimeout;
    OutboundCallbacks callbacks;
    callbacks.onHead_ = [this](const HttpHead& head) {
        if (readiness_ != ok)
            readiness_ = head.status_;
    };
    callbacks.onBody_ = [](const std::string&) {};
    callbacks.onEnd_ = [](const OutboundResult&) {};
    readinessChecks_.send(std::move(request), std::move(callbacks));
}

std::string FaultSoakVm::silence() const
{
    if (readiness_ == ok)
        return {};
    return violation(fmt::format("did not say that it is ready after the faults, status {}", readiness_));
}

std::string FaultSoakVm::violation(const std::string& what) const
{
    std::ifstream log(logFile_);
    std::deque<std::string> lines;
    for (std::string line; std::getline(log, line);) {
        lines.push_back(line);
        if (lines.size() > quotedLogLines)
            lines.pop_front();
    }
    std::string text = name_ + " " + what;
    for (const std::string& line : lines)
        text += "\n    log: " + line;
    return text;
}

} // namespace fescue::test
