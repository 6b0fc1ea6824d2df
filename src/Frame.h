#pragma once

/** \file
 * Frame: the messages between gateways and schedulers, encoded as CBOR in websocket messages.
 *
 * A gateway sends a `RequestFrame`. It receives either a `MovedFrame`, or a `HeadFrame` followed by chunks
 * numbered from 0 and an `EndFrame` with the number of chunks, so that lost, duplicated and misdirected
 * frames are detected. A gateway subscribes with a `WatchFrame`; the scheduler then sends it a `ViewFrame`
 * at once and whenever the membership or the configuration changes. The schedulers of one zone exchange
 * `PeerFrame`s.
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

/** The operation that a request asks for. */
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

/** A caller's request after authentication and parsing. */
struct RequestFrame {
    std::uint64_t id_ = 0; ///< Unique within the link.
    Operation operation_ = Operation::ModelCall;
    WorkspaceId workspace_;
    ProgramId program_; ///< Empty for calls that belong to no program, and until a new program has its id.
    CallNumber call_;
    ServiceId service_;
    std::string method_;
    std::string path_; ///< Path and query to send to the service.
    std::string contentType_;
    std::string body_;
    std::int64_t timeoutMs_ = 0; ///< The caller's remaining timeout; 0 means that the caller set none.
    bool isForced_ = false; ///< Take over the program's shard even if another VM is expected to own it.
};

/** Status and headers of a response. */
struct HeadFrame {
    std::uint64_t id_ = 0;
    int status_ = 0;
    std::string contentType_;
    std::vector<std::pair<std::string, std::string>> headers_;
};

/** Part of a response body. */
struct ChunkFrame {
    std::uint64_t id_ = 0;
    std::uint64_t index_ = 0;
    std::string data_;
};

/** End of a response that had `chunks_` chunks. */
struct EndFrame {
    std::uint64_t id_ = 0;
    std::uint64_t chunks_ = 0;
};

/** Redirect: the request was not processed, because another VM is expected to own its program. */
struct MovedFrame {
    std::uint64_t id_ = 0;
    VmId to_;
};

/** The current members and the active configuration, sent to gateways. */
struct ViewFrame {
    Members members_;
    std::string config_; ///< `toJson(Config)` as text; empty when unchanged since the last view.
};

/** The state of a scheduler, sent to the other schedulers of its zone, optionally with its configuration. */
struct PeerFrame {
    VmId sender_;
    ZoneId zone_;
    std::string address_; ///< `host:port` of its frame server.
    bool isLeaving_ = false;
    bool requestsConfig_ = false; ///< The sender cannot reach the log and asks for a newer configuration.
    LogOffset lastReadOffset_; ///< Offset of the last log entry that its configuration includes.
    std::vector<std::uint32_t> ownedShards_; ///< Shards of the zone that the sender owns.
    std::vector<VmId> unreachableVms_; ///< VMs of the zone from which the sender receives no frames.
    std::map<std::string, std::string> peerAddresses_; ///< Of the VMs that it can reach, after a change.
    std::string config_; ///< `toJson(Config)` as text when the sender passes it on, else empty.
};

/** A gateway subscribes to views on this link; `configVersion_` is the version that it already has. */
struct WatchFrame {
    LogOffset configVersion_;
};

using Frame = std::variant<RequestFrame, HeadFrame, ChunkFrame, EndFrame, MovedFrame, ViewFrame, PeerFrame,
    WatchFrame>;

/** Why a message could not be parsed as a frame. The link that it came on is closed. */
struct FrameError {
    std::string detail_;
};

/** Encodes a frame as CBOR. Pure. */
std::string toCbor(const Frame& frame);

/** Parses a frame. Pure. Errors: `FrameError` for anything that is not exactly one well-formed frame. */
tl::expected<Frame, FrameError> parseFrame(const std::string& bytes);

} // namespace fescue
