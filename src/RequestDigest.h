#pragma once

/** \file
 * RequestDigest: identifies a request by its content, so that crashes count for all of its attempts.
 *
 * The digest covers method, host, path with query, and body. Ids, deadlines and other headers differ between
 * attempts and are left out. Requests with the same content from different callers share a digest.
 */

#include "HttpWire.h"
#include "QueuedCall.h"

namespace fescue {

/** Digest of a request, the same on all VMs and never 0. Pure. */
ContentDigest digestOf(const HttpHead& head, const std::string& body);

/** The digest as 16 hex digits, for logs and records. Pure. */
std::string textOf(ContentDigest digest);

/** Parses the output of `textOf`; returns nothing for other text. Pure. */
std::optional<ContentDigest> parseDigest(std::string_view text);

} // namespace fescue
