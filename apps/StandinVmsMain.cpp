// standin-vms: see standin/VmList.h.

#include "Settings.h"
#include "VmList.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address to listen on; port 0 picks a free port");
DEFINE_int32(
    ports, 1, "number of ports to listen on, each with its own injected faults; printed as http, http1, ...");

int main(int argc, char** argv)
{
    fescue::readSettings(
        argc, argv, { "standin-vms", "standin-vms: stand-in for the platform's list of VMs." });
    auto listen = fescue::requireHostPort("--listen", FLAGS_listen);
    auto ports = static_cast<std::size_t>(fescue::requireRange("--ports", FLAGS_ports, 1, 64));
    fescue::blockStopSignals();
    fescue::HttpServerOptions options;
    options.address_ = listen.host_;
    options.port_ = listen.port_;
    fescue::standin::VmList service(options, ports);
    std::cout << "http " << service.port() << "\n";
    for (std::size_t listener = 1; listener < ports; ++listener)
        std::cout << "http" << listener << " " << service.port(listener) << "\n";
    std::cout << std::flush;
    fescue::waitForStopSignal();
    return 0;
}
