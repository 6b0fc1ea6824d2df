#pragma once

/** \file
 * Digest: SHA-256 for values that must not collide (transcripts, fingerprints, workspace keys).
 */

#include <string>
#include <string_view>

namespace fescue {

/** SHA-256 of `data` as 64 lower-case hex digits. Pure; safe from any thread. */
std::string sha256Hex(std::string_view data);

/** Whether two digests are equal, in constant time. Pure. */
bool equalDigests(std::string_view a, std::string_view b);

} // namespace fescue
