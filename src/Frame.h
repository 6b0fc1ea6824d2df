#pragma once

/** \file
 * Frame: what gateways and schedulers say to each other, as CBOR in websocket messages.
 *
 * A gateway sends a `RequestFrame` and gets either a `MovedFrame` or a `HeadFrame`, then chunks numbered
 * from 0, then an `EndFrame` that tells how many there were. So a lost, doubled or crossed frame shows.
 * To a gateway that has sent a `WatchFrame`, a scheduler sends a `ViewFrame` then and whenever members or
 * configuration change. Schedulers of one zone send each other `PeerFrame`s.
 */

#include "Members.h"
#include "Problem.h"
#include "Types.h"

#include <map>
#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <variant>
#include <vector>

namespace fescue {

/** What a request wants done. */
enum class Operation {
    CreateProgram,
    EndProgram,
    ShowProgram,
    ListPrograms,
    ModelCall,
    ServiceCall,
};

/** Name of an operation, for logs and metrics. Pure. */
std::string nameOf(Operation operation);

/** A caller's request, authenticated and addressed. */
struct RequestFrame {
    std::uint64_t id_ = 0; ///< Unique within the link.
    Operation operation_ = Operation::ModelCall;
    WorkspaceId workspace_;
    ProgramId program_; ///< Empty for a new program and for a call outside of any.
    CallNumber call_;
    ServiceId service_;
    std::string method_;
    std::string path_; ///< Path and query at the service.
    std::string contentType_;
    std::string body_;
    std::int64_t timeoutMs_ = 0; ///< Time that the caller still waits; 0 means no limit of its own.
    bool isForced_ = false; ///< Take the shard over although the program is expected elsewhere.
};

/** Start of an answer. */
struct HeadFrame {
    std::uint64_t id_ = 0;
    int status_ = 0;
    std::string contentType_;
    std::vector<std::pair<std::string, std::string>> headers_;
};

/** Part of an answer. */
struct ChunkFrame {
    std::uint64_t id_ = 0;
    std::uint64_t index_ = 0;
    std::string data_;
};

/** End of an answer that had `chunks_` parts. */
struct EndFrame {
    std::uint64_t id_ = 0;
    std::uint64_t chunks_ = 0;
};

/** The request was not looked at; its program is expected at another VM. */
struct MovedFrame {
    std::uint64_t id_ = 0;
    VmId to_;
};

/** What a gateway needs to know: who is there, and the configuration in force. */
struct ViewFrame {
    Members members_;
    std::string config_; ///< `toJson(Config)` as text; empty when unchanged since the last view.
};

/** One scheduler tells another of its zone how it stands, and may hand over its configuration. */
struct PeerFrame {
    VmId from_;
    ZoneId zone_;
    std::string address_; ///< `host:port` of its frame server.
    bool isLeaving_ = false;
    bool requestsConfig_ = false; ///< It is out of touch with the log.
    LogOffset readTo_; ///< Up to where its configuration takes the log into account.
    std::vector<std::uint32_t> ownedShards_; ///< Shards of the zone that it owns.
    std::vector<VmId> unreachableVms_; ///< VMs of the zone that it cannot hear.
    std::map<std::string, std::string>
        peerAddresses_; ///< VMs that it hears and their addresses, after a change.
    std::string config_; ///< `toJson(Config)` as text when it hands it over, else empty.
};

/** A gateway asks for views over this link; `configVersion_` is the version of the configuration that it has.
 */
struct WatchFrame {
    LogOffset configVersion_;
};

using Frame = std::variant<RequestFrame, HeadFrame, ChunkFrame, EndFrame, MovedFrame, ViewFrame, PeerFrame,
    WatchFrame>;

/** Why a message could not be read as a frame; the link it came on is closed. */
struct FrameError {
    std::string detail_;
};

/** The frame as CBOR. Pure. */
std::string toCbor(const Frame& frame);

/** Reads a frame. Pure. Errors: `FrameError` for anything that is not exactly one well-formed frame. */
tl::expected<Frame, FrameError> parseFrame(const std::string& bytes);

} // namespace fescue
