#pragma once

/** \file
 * StreamTarget: a target of the platform that can run as a process of its own and be ended by signals.
 *
 * The operating system closes the connections of a process that ends, in order unless it has not read all
 * bytes. No target that lives inside a test's process closes its connections like that.
 *
 *     POST /<path>        a stream of events, if `text/event-stream` or nothing is asked for
 *     GET  /<path>        an answer of `answerBytes_`, sent in two parts with a gap between them
 *     GET  /runs          one line a run: attempt, the attempt it resumes, first and last event made, outcome
 *
 * The path selects the framing of the answer: `/none`, `/length` or `/chunks` (the default) as one of its
 * segments. Event k of N is `id: k`, `data: k of N`, then the label, then the path if it is to be named. A
 * run goes on after `Last-Event-Id`.
 *
 * If runs are logged, standard output gets a line for each step, before its bytes are sent. `NUMBER` counts
 * the runs of the process:
 *
 *     run NUMBER ATTEMPT RESUMES FIRST-EVENT PATH
 *     event NUMBER EVENT
 *     end NUMBER complete|caller-gone|broken-off|itself
 */

#include "Types.h"

#include <asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

namespace fescue::standin {

/** Where the process ends while it sends an answer. */
enum class EndPoint {
    Never,
    InsideHead, ///< Inside the head's second line.
    InsideChunkSize, ///< Of a chunked answer.
    InsideEvent,
    BetweenEvents,
    AfterLastEvent, ///< Before the answer's end, if it is marked.
};

/** How the process ends there. */
enum class EndKind {
    Kill, ///< SIGKILL.
    Exit, ///< Exit status 0.
    Break, ///< It lives on, and closes only the connection.
    Pause, ///< It only falls silent on the connection.
};

/** What a target serves. */
struct StreamTargetOptions {
    std::string address_ = "127.0.0.1"; ///< To listen on.
    std::uint16_t port_ = 0; ///< 0 picks a free one.
    std::string id_; ///< Requests that expect another target are refused with 421; empty accepts all.
    std::string label_; ///< In the data of each event, after its number.
    bool namesPath_ = false; ///< In the data of each event, and at the start of any other answer.
    bool logsRuns_ = false;
    int events_ = 8;
    Milliseconds gap_ { 20 }; ///< Before each event after the first one.
    std::size_t answerBytes_ = 800;
    int maxConnections_ = 0; ///< Further ones are reset; 0 for no limit.
    EndPoint endPoint_ = EndPoint::Never;
    EndKind endKind_ = EndKind::Kill;
    int endAtEvent_ = 3; ///< The event inside or after which it ends.
    std::string crashPath_; ///< A run of a path that contains it kills the process; empty for none.
    bool readsBodies_ = true; ///< Otherwise it answers after the head, and reads no further.
};

/** Parses the name of an end point, such as `inside-event`; nothing if there is none of that name. Pure. */
std::optional<EndPoint> parseEndPoint(const std::string& name);
/** Parses the name of an end kind, such as `kill`; nothing if there is none of that name. Pure. */
std::optional<EndKind> parseEndKind(const std::string& name);

/** A running target. To be used on the thread of the event loop. */
class StreamTarget {
public:
    /** Throws `std::system_error` when the address cannot be bound. */
    StreamTarget(asio::io_context& io, const StreamTargetOptions& options);
    ~StreamTarget();
    std::uint16_t port() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue::standin
