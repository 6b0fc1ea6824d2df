#pragma once

/** \file
 * ParseCall: parses and validates the request frame of a call.
 */

#include "Frame.h"
#include "Manifest.h"
#include "Shard.h"

namespace fescue {

/** A parsed call, and whether its answer is to be streamed. */
struct ParsedCall {
    Call call_;
    bool wantsStream_ = false;
};

/** Checks a model or service call against the manifest. Pure; the caller sets `request_` of the call.
 *
 * Errors: `BadRequest`, `UnknownModel`, `UnknownService`, `NonRepeatableNeedsProgram`, all of them not-run.
 */
tl::expected<ParsedCall, Problem> parseCall(const RequestFrame& frame, const Manifest& manifest);

} // namespace fescue
