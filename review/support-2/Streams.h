#pragma once

/** \file
 * Streams: runners that make streams of events, and the events that clients hold of them.
 */

#include "CaseKit.h"

#include <set>
#include <string>

namespace review {

/** Events of a whole stream. */
constexpr int eventCount = 12;
constexpr int eventGapMs = 100;

/** Serves a stream after `Last-Event-Id`; each event names the version of its runner. */
void runStream(
    Runner& runner, const std::shared_ptr<TcpLink>& link, const HttpHead& head, const std::string& body);

/** The whole events at the beginning of a body. */
std::string wholeEvents(const std::string& body);
/** The id of the last event; empty if there is none. */
std::string lastEventOf(const std::string& events);
/** Whether the events go to the end of the stream. */
bool isWholeStream(const std::string& events);
/** Versions of the runners that made the events. */
std::set<std::string> versionsIn(const std::string& events);

} // namespace review
