#pragma once

/** \file
 * ParseHttp: converts a caller's HTTP request to a request frame.
 *
 *     POST   /v1/programs                     create      GET /v1/programs         list
 *     GET    /v1/programs/<id>                show        DELETE /v1/programs/<id> end
 *     POST   /v1/chat/completions             model call
 *     any    /v1/services/<service>/<path>    service call
 *
 * A call of a program has the program's id in the header `Fescue-Program` and its own number in
 * `Fescue-Call`.
 */

#include "Frame.h"
#include "HttpServer.h"
#include "Manifest.h"

namespace fescue {

/** Authenticates and parses a request. Does not set `id_` or the id of a new program. Pure.
 *
 * Errors: `Unauthenticated`, `BadRequest`; all with run state not-run. */
tl::expected<RequestFrame, Problem> parseHttp(const HttpRequest& request, const Manifest& manifest);

/** Converts a problem to a response, with `Retry-After` when the problem has a retry delay. Pure. */
HttpResponse toResponse(const Problem& problem);

} // namespace fescue
