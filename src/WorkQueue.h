#pragma once

/** \file
 * WorkQueue: a few threads that run posted tasks and periodic ones.
 */

#include "Types.h"

#include <functional>
#include <memory>

namespace fescue {

/** Runs tasks on its own threads. Safe from any thread. */
class WorkQueue {
public:
    explicit WorkQueue(std::size_t threads);
    ~WorkQueue();
    WorkQueue(const WorkQueue&) = delete;
    WorkQueue& operator=(const WorkQueue&) = delete;

    void post(std::function<void()> task);
    /** Runs a task again and again, each time `interval` after its last run has ended. */
    void runEvery(Milliseconds interval, std::function<void()> task);
    /** Ends the threads; tasks that have not begun are dropped. Safe to call twice. */
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
