#pragma once

/** \file
 * ParseCall: from a request frame to a `Call`, or to the problem that its caller has to mend.
 */

#include "Frame.h"
#include "Manifest.h"
#include "Shard.h"

namespace fescue {

/** A parsed call and how its answer is wanted. */
struct ParsedCall {
    Call call_;
    bool wantsStream_ = false;
};

/** Checks a model or service call against the manifest. Pure; `request_` of the call is left open.
 *
 * Errors: `BadRequest`, `UnknownModel`, `UnknownService`, `NonRepeatableNeedsProgram`, all of them not-run.
 */
tl::expected<ParsedCall, Problem> parseCall(const RequestFrame& frame, const Manifest& manifest);

} // namespace fescue
