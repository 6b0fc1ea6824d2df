#pragma once

/** \file
 * TargetRequest: what is sent to targets, built from a caller's request and the epoch it runs under.
 *
 * Every request names its fencing scope (the shard's stream) and token (the epoch), so that a target which
 * checks them refuses an owner that has been replaced.
 */

#include "Frame.h"
#include "HttpClient.h"
#include "Manifest.h"
#include "Shard.h"

namespace fescue {

/** The model that a request body names; empty when it names none. Pure. */
ModelId modelOf(const RequestFrame& frame);

/** A model call at an engine; the answer is always asked for as a stream with its usage. Pure. */
HttpCall modelRequest(
    const RequestFrame& frame, const ExecuteCall& execute, const Target& target, Milliseconds timeout);

/** A call of a plain service. `service` may be null when the manifest no longer has it. Pure. */
HttpCall serviceRequest(
    const RequestFrame& frame, const ExecuteCall& execute, const Target& target, const Service* service);

/** An order to an engine to free what it holds for a program. Pure. */
HttpCall releaseRequest(const ProgramId& program, Epoch epoch, const Target& target);

/** A question to an engine for its load. Pure. */
HttpCall loadRequest(const Target& target);

} // namespace fescue
