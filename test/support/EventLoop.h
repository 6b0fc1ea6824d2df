#pragma once

/** \file
 * EventLoop: runs an event loop in a test until a condition holds.
 */

#include "Suite.h"

#include <asio/io_context.hpp>
#include <chrono>

namespace fescue::test {

/** Runs the event loop, and `tick` after each millisecond, until the condition holds. Fails the test if it
 * never does. Must be used on the thread of the event loop. */
template <typename Tick, typename Condition>
void runLoopUntil(asio::io_context& io, const Tick& tick, const Condition& holds)
{
    constexpr int maxRounds = 20000;
    for (int round = 0; round < maxRounds && !holds(); ++round) {
        io.run_for(std::chrono::milliseconds(1));
        io.restart();
        tick();
    }
    CHECK(holds());
}

} // namespace fescue::test
