#pragma once

/** \file
 * PeerPermits: the CBOR messages in which entry VMs ask for permits for a target's rate.
 *
 * Times are sent as ages, since the clocks of two VMs cannot be compared.
 */

#include "RatePermits.h"

#include <string>

namespace fescue {

std::string encode(const PermitRequest& message, MonotonicTime now);
std::string encode(const PermitReply& message, MonotonicTime now);

/** Parse messages; return nothing if the bytes are malformed. Pure, like the functions above. */
std::optional<PermitRequest> parsePermitRequest(const std::string& bytes, MonotonicTime now);
std::optional<PermitReply> parsePermitReply(const std::string& bytes, MonotonicTime now);

} // namespace fescue
