#pragma once

/** \file
 * CallerRoomMetrics: counters and log lines of what callers' want of room has led to.
 */

#include "EventLog.h"
#include "FrontServer.h"
#include "Metrics.h"

namespace fescue {

/** Confined to the thread of the event loop. */
class CallerRoomMetrics {
public:
    void record(FrontEvent event, std::size_t bytes)
    {
        switch (event) {
        case FrontEvent::WaitsForRoom:
            return waited_.add();
        case FrontEvent::RefusedForRoom:
            return refused_.add(); // Its refusal has a log line.
        case FrontEvent::Stalled:
            return recordClosed(stalled_, "stalled", bytes);
        case FrontEvent::ShedForMemory:
            return recordClosed(shed_, "memory", bytes);
        case FrontEvent::DisplacedByConnection:
            return recordClosed(displaced_, "connections", bytes);
        }
    }

private:
    static void recordClosed(Counter& counter, const char* reason, std::size_t bytes)
    {
        counter.add();
        logEvent("caller-closed", { { "reason", reason }, { "bytes", std::to_string(bytes) } });
    }

    Counter waited_ { "callers_waited_for_room_total" };
    Counter refused_ { "callers_closed_for_room_total", { "reason", "no-room" } };
    Counter stalled_ { "callers_closed_for_room_total", { "reason", "stalled" } };
    Counter shed_ { "callers_closed_for_room_total", { "reason", "memory" } };
    Counter displaced_ { "callers_closed_for_room_total", { "reason", "connections" } };
};

} // namespace fescue
