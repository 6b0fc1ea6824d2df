// standin-service: see standin/ToolService.h.

#include "Settings.h"
#include "ToolService.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address to listen on; port 0 picks a free port");

int main(int argc, char** argv)
{
    fescue::readSettings(argc, argv, { "standin-service", "standin-service: stand-in for a tool service." });
    auto listen = fescue::requireHostPort("--listen", FLAGS_listen);
    fescue::blockStopSignals();
    fescue::HttpServerOptions options;
    options.address_ = listen.host_;
    options.port_ = listen.port_;
    fescue::standin::ToolService service(options);
    std::cout << "http " << service.port() << std::endl;
    fescue::waitForStopSignal();
    return 0;
}
