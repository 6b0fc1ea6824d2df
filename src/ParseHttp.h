#pragma once

/** \file
 * ParseHttp: from a caller's HTTP request to a request frame.
 *
 *     POST   /v1/programs                     create      GET /v1/programs         list
 *     GET    /v1/programs/<id>                show        DELETE /v1/programs/<id> end
 *     POST   /v1/chat/completions             model call
 *     any    /v1/services/<service>/<path>    service call
 *
 * Calls of a program name it in `Fescue-Program` and carry their number in `Fescue-Call`.
 */

#include "Frame.h"
#include "HttpServer.h"
#include "Manifest.h"

namespace fescue {

/** Authenticates and reads a request. Pure; `id_` is left open, and so is the id of a new program.
 *
 * Errors: `Unauthenticated`, `BadRequest`; all of them not-run. */
tl::expected<RequestFrame, Problem> parseHttp(const HttpRequest& request, const Manifest& manifest);

/** A problem as a response, with `Retry-After` when it says when to come back. Pure. */
HttpResponse toResponse(const Problem& problem);

} // namespace fescue
