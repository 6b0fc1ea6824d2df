#pragma once

/** \file
 * EventCounter: counts the server-sent events of a stream, from which its tokens are estimated.
 */

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace fescue {

/** Counts the events of a stream; a blank line terminates an event. Not thread-safe. */
struct EventCounter {
    std::int64_t events_ = 0;
    bool isLineEmpty_ = true;
    bool isInEvent_ = false;
    std::size_t eventBytes_ = 0; ///< Of the incomplete event, without line ends.
    bool wasCarriageReturn_ = false; ///< The last byte was one.

    /** Reads the next bytes of the stream, which may end anywhere in an event. */
    void feed(std::string_view bytes)
    {
        for (char c : bytes) {
            bool isEndOfLine = c == '\n' || c == '\r';
            bool isSecondOfPair = c == '\n' && wasCarriageReturn_;
            wasCarriageReturn_ = c == '\r';
            if (isSecondOfPair)
                continue;
            if (!isEndOfLine) {
                isLineEmpty_ = false;
                isInEvent_ = true;
                ++eventBytes_;
                continue;
            }
            if (isLineEmpty_ && isInEvent_) {
                ++events_;
                isInEvent_ = false;
                eventBytes_ = 0;
            }
            isLineEmpty_ = true;
        }
    }
    /** Includes an incomplete event, since its tokens may have been forwarded. */
    std::int64_t startedEvents() const { return events_ + (isInEvent_ ? 1 : 0); }
};

} // namespace fescue
