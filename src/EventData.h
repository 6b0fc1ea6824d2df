#pragma once

/** \file
 * EventData: extracts the data of server-sent events from the bytes of a stream.
 *
 * Follows "Interpreting an event stream" of the HTML standard: the data lines of an event are joined with
 * line feeds; comments and other fields are skipped; an event without data lines is none, and so is one that
 * its blank line does not terminate.
 */

#include <string>
#include <string_view>

namespace fescue {

/** Collects the data of the events of a stream. Not thread-safe. */
class EventData {
public:
    /** Reads the next bytes of the stream, which may end anywhere in an event. */
    void feed(std::string_view bytes);
    /** The data of each complete event, followed by a line feed. */
    const std::string& text() const { return text_; }
    /** Bytes that are held, including those of the incomplete event. */
    std::size_t heldBytes() const { return text_.size() + event_.size() + line_.size(); }
    /** Memory that is taken for them. */
    std::size_t allocatedBytes() const { return text_.capacity() + event_.capacity() + line_.capacity(); }

private:
    void endLine();

    std::string text_;
    std::string event_; ///< Data lines of the incomplete event, each followed by a line feed.
    std::string line_; ///< Incomplete.
    bool isFirstLine_ = true;
    bool wasCarriageReturn_ = false; ///< The last byte was one.
};

} // namespace fescue
