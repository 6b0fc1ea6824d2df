#pragma once

/** \file
 * TargetRequest: builds the HTTP requests to targets from a caller's request and the epoch under which it
 * runs.
 *
 * Every request carries its fencing scope (the shard's stream) and fencing token (the epoch), so that a
 * target that checks them refuses requests of a previous owner.
 */

#include "Frame.h"
#include "HttpClient.h"
#include "Manifest.h"
#include "Shard.h"

namespace fescue {

/** The model named in a request body; empty if there is none. Pure. */
ModelId modelOf(const RequestFrame& frame);

/** A model call to an engine; it always requests a stream that includes the usage. Pure. */
HttpCall modelRequest(
    const RequestFrame& frame, const ExecuteCall& execute, const Target& target, Milliseconds timeout);

/** A call to a service. `service` is null if it is no longer in the manifest. Pure. */
HttpCall serviceRequest(
    const RequestFrame& frame, const ExecuteCall& execute, const Target& target, const Service* service);

/** A request to an engine to release a program's cache. Pure. */
HttpCall releaseRequest(const ProgramId& program, Epoch epoch, const Target& target);

/** A request for an engine's load report. Pure. */
HttpCall loadRequest(const Target& target);

} // namespace fescue
