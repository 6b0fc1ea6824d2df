#pragma once

/** \file
 * TimeLinePicture: a merged time line as text, as an SVG picture and as an HTML page.
 *
 * The picture has one lane a process, runs from top to bottom in the order of the merge, and has an arrow
 * from each cause to its effect in another process. It needs no other file.
 */

#include "TimeLine.h"

#include <string>

namespace fescue {

/** One line an event: number, the process's own clock, process, event, facts. Pure. */
std::string toText(const TimeLine& timeLine);

/** The events as a JSON array in the order of the merge. Pure. */
std::string toJsonText(const TimeLine& timeLine);

/** The picture as SVG. Pure. */
std::string toSvg(const TimeLine& timeLine);

/** A page with the picture, a table of the lanes and what the merge could not order. Pure. */
std::string toHtml(const TimeLine& timeLine);

} // namespace fescue
