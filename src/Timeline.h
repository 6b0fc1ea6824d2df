#pragma once

/** \file
 * Timeline: merges the event logs of all processes into one ordered list.
 *
 * Clocks of different machines disagree, so two events are ordered by these rules:
 *
 *   - Process order: events of one process have the order of its log.
 *   - Causality: a request is sent before it is received, and a batch is appended before it is read.
 *   - Offsets: of two events of one log stream, the one with the smaller offset comes first. Readers may lag,
 *     so this rule yields where it contradicts the others.
 *
 * Events that no rule orders are sorted by wall clock, advanced to that of their latest known cause. If the
 * input contradicts itself (a cycle), it is still listed completely: the event with the earliest clock goes
 * first and `contradictions_` counts it.
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
    std::map<std::string, std::string> fields_; ///< Without the fields of its lane.
};

/** A causal link between events of two processes; indices into `Timeline::events_`. */
struct TimelineArrow {
    std::size_t cause_ = 0;
    std::size_t effect_ = 0;
};

/** One process; a restarted process with another log file has a separate lane. */
struct TimelineLane {
    std::string file_;
    std::string process_;
    std::string vm_;
    std::string zone_;
};

/** The merged events and statistics of the merge. */
struct Timeline {
    std::vector<TimelineLane> lanes_;
    std::vector<TimelineEvent> events_;
    std::vector<TimelineArrow> arrows_;
    std::size_t skippedLines_ = 0; ///< Lines that are not events, for example a truncated last line.
    std::size_t contradictions_ = 0; ///< Events that are listed before one of their causes.
};

/** Name and contents of one event log. */
struct EventFile {
    std::string name_;
    std::string text_;
};

/** Merges event logs. Pure; O(n log n) time, and all events are kept in memory. */
Timeline mergeTimeline(const std::vector<EventFile>& files);

} // namespace fescue
