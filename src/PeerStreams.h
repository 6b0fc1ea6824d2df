#pragma once

/** \file
 * PeerStreams: the CBOR messages in which entry VMs tell each other what began a stream.
 */

#include "HttpWire.h"
#include "StreamOrigins.h"

#include <optional>
#include <string>
#include <vector>

namespace fescue {

/** Asks what began a stream. */
struct OriginQuery {
    AttemptId attempt_;
    ServiceId service_; ///< The service that the request would be sent to.
};

/** The reply to an `OriginQuery`. */
struct OriginReply {
    std::optional<StreamOrigin> origin_; ///< If the peer knows the stream.
    std::optional<SoftwareVersion> soleVersion_; ///< See `VersionHistory`.
    /** Whether the peer has read the list of targets since it got the query. Older releases do not; what they
     * take for the only version may have been joined by another one. */
    bool isSoleCurrent_ = false;
    /** All routes that count for a stream are those of this configuration and later ones, see `coveredFrom`.
     * Carried in a header, which older releases neither send nor read. */
    std::optional<std::uint64_t> routesFrom_ {};
};

std::string encode(const std::vector<BegunStream>& streams);
std::string encode(const OriginQuery& query);
/** The body of a reply. */
std::string encode(const OriginReply& reply);
/** The headers of a reply. Pure. */
std::vector<HttpHeader> headersOf(const OriginReply& reply);

/** Parse messages; return nothing if the bytes are malformed. Pure, like the functions above. */
std::optional<std::vector<BegunStream>> parseStreams(const std::string& bytes);
std::optional<OriginQuery> parseOriginQuery(const std::string& bytes);
std::optional<OriginReply> parseOriginReply(const std::string& bytes);
/** What the headers of a reply say of routes. Pure. */
std::optional<std::uint64_t> parseRoutesFrom(const HttpHead& head);

} // namespace fescue
