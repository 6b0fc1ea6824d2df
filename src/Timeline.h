#pragma once

/** \file
 * Timeline: the event logs of all processes, merged into one ordered list.
 *
 * Clocks of several machines disagree, so an event comes after another one only for a reason:
 *
 *   - both are of one process, and the log of that process has them in this order;
 *   - one is the cause of the other: a request is sent before it is received, a batch is appended before
 *     anyone reads it;
 *   - both tell of the same log stream, and the offset is the smaller one. A reader may lag, so this gives
 *     way where it contradicts the reasons above.
 *
 * Where no reason decides, the wall clock does, moved forward to that of the latest known cause. Input that
 * contradicts itself (a cycle) is still listed whole: the event with the earliest clock goes first and
 * `contradictions_` counts it.
 */

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fescue {

/** One line of an event log. */
struct TimelineEvent {
    std::size_t lane_ = 0; ///< Index into `Timeline::lanes_`.
    std::int64_t timeUs_ = 0; ///< The process's own wall clock.
    std::string name_;
    std::map<std::string, std::string> fields_; ///< Without those that its lane says.
};

/** What caused an event in another process; both are indices into `Timeline::events_`. */
struct TimelineArrow {
    std::size_t cause_ = 0;
    std::size_t effect_ = 0;
};

/** One process; a process that was started again with another file has a lane of its own. */
struct TimelineLane {
    std::string file_;
    std::string process_;
    std::string vm_;
    std::string zone_;
};

/** The merged events and what is to be known about the merge. */
struct Timeline {
    std::vector<TimelineLane> lanes_;
    std::vector<TimelineEvent> events_;
    std::vector<TimelineArrow> arrows_;
    std::size_t skippedLines_ = 0; ///< Lines that are not events, for example half of the last one.
    std::size_t contradictions_ = 0; ///< Events that had to be listed before one of their causes.
};

/** Contents of one event log. */
struct EventFile {
    std::string name_;
    std::string text_;
};

/** Merges event logs. Pure; takes n log n steps and keeps all events in memory. */
Timeline mergeTimeline(const std::vector<EventFile>& files);

} // namespace fescue
