#pragma once

/** \file
 * TimelinePicture: renders a merged timeline as text, JSON, an SVG picture or an HTML page.
 *
 * The picture has one lane per process, runs from top to bottom in the order of the merge, and has an arrow
 * from each cause to its effect in another process. It needs no other file.
 */

#include "Timeline.h"

#include <string>

namespace fescue {

/** One line per event: number, the process's own clock, process, event, fields. Pure. */
std::string toText(const Timeline& timeline);

/** The events as a JSON array in the order of the merge. Pure. */
std::string toJsonText(const Timeline& timeline);

/** The picture as SVG. Pure. */
std::string toSvg(const Timeline& timeline);

/** A page with the picture, a table of the lanes and the statistics of the merge. Pure. */
std::string toHtml(const Timeline& timeline);

} // namespace fescue
