#include "EventData.h"

namespace fescue {

namespace {

    // Buffers of lines and events of ordinary size are used again.
    void clear(std::string& buffer)
    {
        constexpr std::size_t maxKeptBytes = 4096;
        buffer.clear();
        if (buffer.capacity() > maxKeptBytes)
            buffer.shrink_to_fit();
    }

} // namespace

void EventData::feed(std::string_view bytes)
{
    while (!bytes.empty()) {
        if (wasCarriageReturn_ && bytes.front() == '\n')
            bytes.remove_prefix(1);
        wasCarriageReturn_ = false;
        std::size_t end = bytes.find_first_of("\r\n");
        line_ += bytes.substr(0, end);
        if (end == std::string_view::npos)
            return;
        wasCarriageReturn_ = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        endLine();
    }
}

void EventData::endLine()
{
    constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";
    constexpr std::string_view dataField = "data";
    std::string_view line = line_;
    if (isFirstLine_ && line.substr(0, byteOrderMark.size()) == byteOrderMark)
        line.remove_prefix(byteOrderMark.size());
    isFirstLine_ = false;
    if (line.empty()) {
        // Each data line ends with a line feed, of which the last one terminates the data of the event.
        text_ += event_;
        clear(event_);
    }
    std::size_t colon = line.find(':');
    if (line.substr(0, colon) == dataField) {
        std::string_view value
            = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
        if (!value.empty() && value.front() == ' ')
            value.remove_prefix(1);
        event_ += value;
        event_ += '\n';
    }
    clear(line_);
}

} // namespace fescue
