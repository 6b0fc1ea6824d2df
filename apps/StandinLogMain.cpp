// standin-log: see standin/LogService.h.

#include "LogService.h"
#include "Settings.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address to listen on; port 0 picks a free port");
DEFINE_int64(retention, 1000000, "entries that each stream keeps");
DEFINE_int32(
    ports, 1, "number of ports to listen on, each with its own injected faults; printed as http, http1, ...");

int main(int argc, char** argv)
{
    fescue::readSettings(
        argc, argv, { "standin-log", "standin-log: stand-in for the platform's log service." });
    auto listen = fescue::requireHostPort("--listen", FLAGS_listen);
    auto retention = fescue::requireRange("--retention", FLAGS_retention, 1, 1000000000);
    auto ports = static_cast<std::size_t>(fescue::requireRange("--ports", FLAGS_ports, 1, 64));
    fescue::blockStopSignals();
    fescue::HttpServerOptions options;
    options.address_ = listen.host_;
    options.port_ = listen.port_;
    fescue::standin::LogService service(options, static_cast<std::size_t>(retention), ports);
    std::cout << "http " << service.port() << "\n";
    for (std::size_t listener = 1; listener < ports; ++listener)
        std::cout << "http" << listener << " " << service.port(listener) << "\n";
    std::cout << std::flush;
    fescue::waitForStopSignal();
    return 0;
}
