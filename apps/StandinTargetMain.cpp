// standin-target: see standin/StreamTarget.h.

#include "Settings.h"
#include "StreamTarget.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address to listen on; port 0 picks a free port");
DEFINE_string(id, "", "id of the target; requests that expect another one are refused");
DEFINE_string(label, "", "text in the data of each event");
DEFINE_bool(name_path, false, "name the path of the request in the data of each event and in other answers");
DEFINE_bool(log_runs, false, "print a line for each step of a run");
DEFINE_int32(events, 8, "events of a whole stream");
DEFINE_int32(gap_ms, 20, "time between two events");
DEFINE_int64(answer_bytes, 800, "size of an answer that is no stream");
DEFINE_int32(max_connections, 0, "connections beyond it are reset; 0 for no limit");
DEFINE_string(end_point, "never",
    "where it ends in an answer: never, inside-head, inside-chunk-size, inside-event, between-events or "
    "after-last-event");
DEFINE_string(end_kind, "kill", "how it ends there: kill, exit, break or pause");
DEFINE_int32(end_at_event, 3, "the event inside or after which it ends");
DEFINE_string(crash_path, "", "a run of a path that contains this text kills the process");
DEFINE_bool(reads_bodies, true, "read the body of a request before the answer");

int main(int argc, char** argv)
{
    using namespace fescue;
    readSettings(argc, argv, { "standin-target", "standin-target: stand-in for a target of the platform." });
    auto listen = requireHostPort("--listen", FLAGS_listen);
    standin::StreamTargetOptions options;
    options.address_ = listen.host_;
    options.port_ = listen.port_;
    options.id_ = FLAGS_id;
    options.label_ = FLAGS_label;
    options.namesPath_ = FLAGS_name_path;
    options.logsRuns_ = FLAGS_log_runs;
    options.events_ = static_cast<int>(requireRange("--events", FLAGS_events, 0, 1000000));
    options.gap_ = Milliseconds { requireRange("--gap_ms", FLAGS_gap_ms, 0, 60000) };
    options.answerBytes_
        = static_cast<std::size_t>(requireRange("--answer_bytes", FLAGS_answer_bytes, 2, 100000000));
    options.maxConnections_
        = static_cast<int>(requireRange("--max_connections", FLAGS_max_connections, 0, 100000));
    options.endAtEvent_ = static_cast<int>(requireRange("--end_at_event", FLAGS_end_at_event, 1, 1000000));
    options.crashPath_ = FLAGS_crash_path;
    options.readsBodies_ = FLAGS_reads_bodies;
    auto endPoint = standin::parseEndPoint(FLAGS_end_point);
    auto endKind = standin::parseEndKind(FLAGS_end_kind);
    if (!endPoint)
        exitWithInvalidSetting("--end_point", "name one of those that --help lists");
    if (!endKind)
        exitWithInvalidSetting("--end_kind", "name one of those that --help lists");
    options.endPoint_ = *endPoint;
    options.endKind_ = *endKind;
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context io { 1 };
    asio::signal_set stopSignals(io, SIGTERM, SIGINT);
    stopSignals.async_wait([&io](const asio::error_code&, int) { io.stop(); });
    standin::StreamTarget target(io, options);
    std::cout << "http " << target.port() << std::endl;
    io.run();
    return 0;
}
