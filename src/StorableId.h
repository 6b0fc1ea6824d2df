#pragma once

/** \file
 * StorableId: gives each program an id that fits into a key of the platform's store.
 *
 * Callers choose the ids of programs, in any length, but a key has at most 255 bytes, with the id of its
 * writer, and is text in the store's replies.
 */

#include "Types.h"

namespace fescue {

/** Ids up to this length are kept. */
constexpr std::size_t maxStorableIdLength = 100;

/** Returns the id itself if it is short and consists of visible ASCII characters, and a digest of it
 * otherwise. Two programs have the same id only if their digests of 128 bits are equal. Pure. */
ProgramId storableId(const ProgramId& program);

} // namespace fescue
