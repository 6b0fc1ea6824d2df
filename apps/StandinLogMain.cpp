// standin-log: see standin/LogService.h.

#include "LogService.h"
#include "Settings.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address to listen on; port 0 takes a free one");
DEFINE_int64(retention, 1000000, "entries that each stream keeps");

int main(int argc, char** argv)
{
    fescue::readSettings(
        argc, argv, { "standin-log", "standin-log: stand-in for the platform's log service." });
    auto listen = fescue::requireHostPort("--listen", FLAGS_listen);
    auto retention = fescue::requireRange("--retention", FLAGS_retention, 1, 1000000000);
    fescue::blockStopSignals();
    fescue::HttpServerOptions options;
    options.address_ = listen.host_;
    options.port_ = listen.port_;
    fescue::standin::LogService service(options, static_cast<std::size_t>(retention));
    std::cout << "http " << service.port() << std::endl;
    fescue::waitForStopSignal();
    return 0;
}
