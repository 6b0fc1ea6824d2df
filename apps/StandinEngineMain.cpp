// standin-engine: see standin/Engine.h.

#include "Engine.h"
#include "Settings.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address to listen on; port 0 picks a free port");
DEFINE_int32(step_ms, 2, "duration of one step of the batch");
DEFINE_int64(answer_tokens, 16, "length of an answer, unless max_tokens is smaller");
DEFINE_int64(cache_tokens, 2000000, "capacity of the prefix cache in tokens");
DEFINE_bool(ignores_max_tokens, false, "ignore the max_tokens of requests");

int main(int argc, char** argv)
{
    fescue::readSettings(argc, argv, { "standin-engine", "standin-engine: stand-in for a model engine." });
    auto listen = fescue::requireHostPort("--listen", FLAGS_listen);
    fescue::standin::EngineOptions options;
    options.step_ = fescue::Milliseconds { fescue::requireRange("--step_ms", FLAGS_step_ms, 1, 10000) };
    options.answerTokens_ = fescue::requireRange("--answer_tokens", FLAGS_answer_tokens, 1, 1000000);
    options.cacheTokens_ = fescue::requireRange("--cache_tokens", FLAGS_cache_tokens, 0, 1000000000);
    options.ignoresMaxTokens_ = FLAGS_ignores_max_tokens;
    options.http_.address_ = listen.host_;
    options.http_.port_ = listen.port_;
    fescue::blockStopSignals();
    fescue::standin::Engine engine(options);
    std::cout << "http " << engine.port() << std::endl;
    fescue::waitForStopSignal();
    return 0;
}
