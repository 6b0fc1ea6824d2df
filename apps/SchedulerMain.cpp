// fescue-scheduler: owns program shards; see src/Scheduler.h.

#include "EventLog.h"
#include "Scheduler.h"
#include "Settings.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(vm, "", "name of this VM in the platform's list");
DEFINE_string(zone, "", "availability zone of this VM");
DEFINE_string(listen, "127.0.0.1:0", "address for frames from gateways; port 0 picks a free port");
DEFINE_int32(http_port, 0, "port for /healthz, /readyz, /metrics and /status; 0 picks a free port");
DEFINE_string(log_url, "", "address of the platform's log service");
DEFINE_string(vms_url, "", "address of the platform's list of VMs");
DEFINE_int32(threads, 4, "threads that serve frames");
DEFINE_int64(seed, 0, "random seed; 0 picks a new one at each start");
DEFINE_int32(flush_ms, 500, "how long records that no call waits for are batched before they are appended");
DEFINE_int64(config_snapshot_ms, 600000,
    "how often accepted configuration is written as a snapshot; at most a third of the log's retention");
DEFINE_int32(drain_ms, 30000, "how long open calls may continue after SIGTERM");
DEFINE_int32(idle_ms, 1800000, "a program without calls for this long ends");
DEFINE_int32(cache_check_ms, 15000, "how often the list of cached programs of each engine is checked");
DEFINE_int64(
    tranche_tokens, 16384, "part of a program's budget that an owner reserves through the log at a time");
DEFINE_string(events_file, "", "file for the event log; empty for standard error");

namespace {

fescue::SchedulerOptions checkedOptions()
{
    using namespace fescue;
    SchedulerOptions options;
    options.vm_ = { requireNonEmpty("--vm", FLAGS_vm) };
    options.zone_ = requireZone("--zone", FLAGS_zone);
    HostPort listen = requireHostPort("--listen", FLAGS_listen);
    options.address_ = listen.host_;
    options.port_ = listen.port_;
    options.httpPort_ = static_cast<std::uint16_t>(requireRange("--http_port", FLAGS_http_port, 0, 65535));
    options.logUrl_ = requireUrl("--log_url", FLAGS_log_url);
    options.vmsUrl_ = requireUrl("--vms_url", FLAGS_vms_url);
    options.threads_ = static_cast<std::size_t>(requireRange("--threads", FLAGS_threads, 1, 64));
    options.seed_ = static_cast<std::uint64_t>(FLAGS_seed);
    options.flushInterval_ = Milliseconds { requireRange("--flush_ms", FLAGS_flush_ms, 0, 60000) };
    options.configSnapshotPeriod_
        = Milliseconds { requireRange("--config_snapshot_ms", FLAGS_config_snapshot_ms, 100, 604800000) };
    options.drainGrace_ = Milliseconds { requireRange("--drain_ms", FLAGS_drain_ms, 0, 3600000) };
    options.cacheCheckInterval_
        = Milliseconds { requireRange("--cache_check_ms", FLAGS_cache_check_ms, 50, 3600000) };
    options.limits_.programIdleTimeout_
        = Milliseconds { requireRange("--idle_ms", FLAGS_idle_ms, 100, 604800000) };
    options.limits_.trancheSize_ = { requireRange("--tranche_tokens", FLAGS_tranche_tokens, 1, 1000000000) };
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    fescue::readSettings(argc, argv,
        { "fescue-scheduler",
            "fescue-scheduler: owns program shards; runs on each entry VM next to fescue-gateway." });
    fescue::SchedulerOptions options = checkedOptions();
    fescue::blockStopSignals();
    try {
        fescue::openEventLog({ FLAGS_events_file, "scheduler", options.vm_.value_, options.zone_.value_ });
        fescue::Scheduler scheduler(options);
        std::cout << "frames " << scheduler.port() << "\nhttp " << scheduler.httpPort() << std::endl;
        fescue::waitForStopSignal();
        scheduler.drain();
    } catch (const std::exception& error) {
        fescue::exitWithInvalidSetting("--listen, --http_port or --events_file",
            std::string(error.what())
                + "; name an address of this VM that no other process has, and a file that can be written");
    }
    return 0;
}
