// fescue-gateway: serves callers over HTTP; see src/Gateway.h.

#include "EventLog.h"
#include "Gateway.h"
#include "Settings.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(vm, "", "name of this VM in the platform's list");
DEFINE_string(zone, "", "availability zone of this VM");
DEFINE_string(listen, "127.0.0.1:0", "address for callers; port 0 picks a free port");
DEFINE_string(scheduler, "", "host:port of the scheduler on this VM");
DEFINE_int32(threads, 4, "threads that serve callers");
DEFINE_int64(seed, 0, "random seed; 0 picks a new one at each start");
DEFINE_int64(max_body_bytes, 8388608, "largest request body");
DEFINE_int32(home_ms, 15000, "how long a request may search for the owner of its program");
DEFINE_int32(drain_ms, 30000, "how long open requests may continue after SIGTERM");
DEFINE_string(events_file, "", "file for the event log; empty for standard error");

namespace {

fescue::GatewayOptions checkedOptions()
{
    using namespace fescue;
    GatewayOptions options;
    options.vm_ = { requireNonEmpty("--vm", FLAGS_vm) };
    options.zone_ = requireZone("--zone", FLAGS_zone);
    HostPort listen = requireHostPort("--listen", FLAGS_listen);
    options.address_ = listen.host_;
    options.port_ = listen.port_;
    requireHostPort("--scheduler", FLAGS_scheduler);
    options.scheduler_ = FLAGS_scheduler;
    options.threads_ = static_cast<std::size_t>(requireRange("--threads", FLAGS_threads, 1, 64));
    options.seed_ = static_cast<std::uint64_t>(FLAGS_seed);
    options.maxBody_ = { requireRange("--max_body_bytes", FLAGS_max_body_bytes, 1024, 268435456) };
    options.homeTimeout_ = Milliseconds { requireRange("--home_ms", FLAGS_home_ms, 100, 600000) };
    options.drainGrace_ = Milliseconds { requireRange("--drain_ms", FLAGS_drain_ms, 0, 3600000) };
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    fescue::readSettings(argc, argv,
        { "fescue-gateway",
            "fescue-gateway: serves callers over HTTP and routes requests to the owners of their "
            "programs." });
    fescue::GatewayOptions options = checkedOptions();
    fescue::blockStopSignals();
    try {
        fescue::openEventLog({ FLAGS_events_file, "gateway", options.vm_.value_, options.zone_.value_ });
        fescue::Gateway gateway(options);
        std::cout << "http " << gateway.port() << std::endl;
        fescue::waitForStopSignal();
        gateway.drain();
    } catch (const std::exception& error) {
        fescue::exitWithInvalidSetting("--listen or --events_file",
            std::string(error.what())
                + "; name an address of this VM that no other process has, and a file that can be written");
    }
    return 0;
}
