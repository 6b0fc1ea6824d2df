#include "EntryVmImpl.h"

namespace fescue {

EntryVm::EntryVm(EntryVmOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{
}

EntryVm::~EntryVm() = default;

void EntryVm::run()
{
    const VmSettings& settings = impl_->options_.settings_;
    logEvent("start",
        { { "release", releaseName() }, { "listen", settings.callerAddress_ },
            { "store", settings.store_.address_ },
            { "partitions", std::to_string(settings.store_.partitions_) },
            { "memory_mb", std::to_string(settings.memoryMb_) },
            { "processor_share", fmt::format("{}", settings.cpuQuota_) } });
    impl_->waitForSignal();
    deliverSignals();
    impl_->tick();
    impl_->io_.run();
    // The handlers go with the event loop.
    holdSignals();
}

void EntryVm::Impl::watchLoop(MonotonicTime now)
{
    LoopGap gap = takeTick(loop_, now, usedProcessorTime());
    if (!gap.isBusy_ && !gap.isPause_)
        return;
    LogFields facts { { "for_ms", std::to_string(gap.passed_.count()) },
        { "used_ms", std::to_string(gap.used_.count()) },
        { "connections", std::to_string(callerServer_.connections()) },
        { "under_way", std::to_string(forwarder_.openCallCount()) } };
    if (gap.isBusy_)
        logWarning(
            "loop-busy", "the event loop did not come round; report it with the lines around it", facts);
    if (!gap.isPause_)
        return;
    logWarning("stood-still", "the VM was paused, or busy if used_ms says so; all cached state is read again",
        facts);
    store_.reconnect();
    follower_.resync();
    forwarder_.closeIdleConnections();
}

void EntryVm::Impl::drain()
{
    if (drain_.startedAt_)
        return;
    drain_.startedAt_ = bootNow();
    forwarder_.endBy(lastAnswerAt(drain_));
    logEvent("drain", { { "under_way", std::to_string(forwarder_.openCallCount()) } });
    callerServer_.drain();
    // The next process waits for the addresses that this one has not bound.
    exchange_.leaveAddress();
    readinessServer_.leaveAddress();
    if (metricsServer_)
        metricsServer_->leaveAddress();
    follower_.withdraw();
}

} // namespace fescue
