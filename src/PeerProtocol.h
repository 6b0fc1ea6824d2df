#pragma once

/** \file
 * PeerProtocol: which messages another entry VM understands.
 *
 * While VMs are replaced one after the other, two releases exchange messages. Each request and each reply
 * names the version of the messages that its sender speaks. A sender uses what was added later only towards
 * a VM that has named a version with it.
 */

#include "HttpWire.h"

#include <cstdint>
#include <string>

namespace fescue {

/** Version of the messages; releases that name none speak the first. */
struct PeerProtocol {
    std::uint32_t version_ = 1;
};

/** What later versions have added, with the version that did. */
enum class PeerFeature : std::uint32_t {
    RelayedStatements = 2, ///< Replies to relayed requests say what the target has said of itself.
};

/** What this release speaks. */
constexpr PeerProtocol ownPeerProtocol { 2 };

/** Whether a reply says that its sender does not know the message: it is of a release from before it, and
 * neither lost nor certain that what was asked for does not exist. Pure. */
bool isUnknownMessage(int status);

/** Names the own version in the head of a request or reply. */
void addProtocol(HttpHead& head);

/** Names this release in the head of a reply. */
void addRelease(HttpHead& head);

/** The release that a head names; empty for those from before they named it. Pure. */
std::string releaseOf(const HttpHead& head);

/** The version that the sender of a head speaks. Pure. */
PeerProtocol protocolOf(const HttpHead& head);

/** Whether a VM with this version understands a feature. Pure. */
bool understands(PeerProtocol protocol, PeerFeature feature);

} // namespace fescue
