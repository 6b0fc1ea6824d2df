#pragma once

/** \file
 * WorkQueue: a thread pool that runs posted and periodic tasks.
 */

#include "Types.h"

#include <functional>
#include <memory>

namespace fescue {

/** Runs tasks on its own threads. All functions are thread-safe. */
class WorkQueue {
public:
    explicit WorkQueue(std::size_t threads);
    ~WorkQueue();
    WorkQueue(const WorkQueue&) = delete;
    WorkQueue& operator=(const WorkQueue&) = delete;

    void post(std::function<void()> task);
    /** Runs a task periodically, each time `interval` after its previous run has ended. */
    void runEvery(Milliseconds interval, std::function<void()> task);
    /** Joins the threads; tasks that have not started are dropped. Idempotent. */
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
