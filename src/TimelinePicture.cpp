#include "TimelinePicture.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescue {

namespace {

    constexpr int laneWidth = 330;
    constexpr int rowHeight = 16;
    constexpr int headerHeight = 48;
    constexpr int margin = 16;
    constexpr std::size_t maxLabelBytes = 52;
    constexpr std::int64_t microsecondsPerSecond = 1000000;
    constexpr std::int64_t secondsPerDay = 86400;

    std::string labelOf(const TimelineLane& lane) { return lane.process_ + "@" + lane.vm_; }

    std::string clockOf(std::int64_t timeUs)
    {
        std::int64_t seconds = timeUs / microsecondsPerSecond % secondsPerDay;
        return fmt::format("{:02}:{:02}:{:02}.{:06}", seconds / 3600, seconds / 60 % 60, seconds % 60,
            timeUs % microsecondsPerSecond);
    }

    std::string fieldsOf(const TimelineEvent& event)
    {
        std::string text;
        for (const auto& [name, value] : event.fields_)
            text += fmt::format("{}{}={}", text.empty() ? "" : " ", name, value);
        return text;
    }

    std::string escaped(const std::string& text)
    {
        std::string safe;
        for (char c : text) {
            if (c == '<')
                safe += "&lt;";
            else if (c == '>')
                safe += "&gt;";
            else if (c == '&')
                safe += "&amp;";
            else if (c == '"')
                safe += "&quot;";
            else
                safe += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
        }
        return safe;
    }

    // Cuts at a UTF-8 character boundary.
    std::string truncated(const std::string& text)
    {
        if (text.size() <= maxLabelBytes)
            return text;
        std::size_t end = maxLabelBytes;
        while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U)
            --end;
        return text.substr(0, end) + "...";
    }

    int laneX(std::size_t lane) { return margin + static_cast<int>(lane) * laneWidth; }

    int rowY(std::size_t row) { return headerHeight + margin + static_cast<int>(row) * rowHeight; }

    std::string drawLane(const Timeline& timeline, std::size_t lane)
    {
        int x = laneX(lane);
        const TimelineLane& shown = timeline.lanes_[lane];
        return fmt::format("<text x=\"{}\" y=\"20\" font-weight=\"bold\">{}</text>"
                           "<text x=\"{}\" y=\"36\" fill=\"#666\">{}</text>"
                           "<line x1=\"{}\" y1=\"{}\" x2=\"{}\" y2=\"{}\" stroke=\"#bbb\"/>\n",
            x, escaped(labelOf(shown)), x, escaped(shown.zone_), x, headerHeight, x,
            rowY(timeline.events_.size()));
    }

    std::string drawEvent(const TimelineEvent& event, std::size_t row)
    {
        int x = laneX(event.lane_);
        int y = rowY(row);
        const char* colour = event.fields_.count("message") ? "#c0392b" : "#2c5f8a";
        return fmt::format("<g><title>{}</title><circle cx=\"{}\" cy=\"{}\" r=\"3\" fill=\"{}\"/>"
                           "<text x=\"{}\" y=\"{}\">{}</text></g>\n",
            escaped(clockOf(event.timeUs_) + " " + event.name_ + " " + fieldsOf(event)), x, y, colour, x + 8,
            y + 4, escaped(truncated(event.name_ + " " + fieldsOf(event))));
    }

    std::string drawArrow(const Timeline& timeline, const TimelineArrow& arrow)
    {
        return fmt::format("<line x1=\"{}\" y1=\"{}\" x2=\"{}\" y2=\"{}\" stroke=\"#e08e2b\" "
                           "stroke-opacity=\"0.7\" marker-end=\"url(#tip)\"/>\n",
            laneX(timeline.events_[arrow.cause_].lane_), rowY(arrow.cause_),
            laneX(timeline.events_[arrow.effect_].lane_), rowY(arrow.effect_));
    }

} // namespace

std::string toText(const Timeline& timeline)
{
    std::size_t maxLabelWidth = 0;
    for (const TimelineLane& lane : timeline.lanes_)
        maxLabelWidth = std::max(maxLabelWidth, labelOf(lane).size());
    std::string text;
    for (std::size_t i = 0; i < timeline.events_.size(); ++i) {
        const TimelineEvent& event = timeline.events_[i];
        text += fmt::format("{:>5}  {}  {:<{}}  {:<18}  {}\n", i + 1, clockOf(event.timeUs_),
            labelOf(timeline.lanes_[event.lane_]), maxLabelWidth, event.name_, fieldsOf(event));
    }
    if (timeline.skippedLines_ > 0)
        text += fmt::format("{} lines are not events and were skipped\n", timeline.skippedLines_);
    if (timeline.contradictions_ > 0)
        text += fmt::format(
            "{} events have contradictory causes and are ordered by clock only\n", timeline.contradictions_);
    return text;
}

std::string toJsonText(const Timeline& timeline)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const TimelineEvent& event : timeline.events_) {
        const TimelineLane& lane = timeline.lanes_[event.lane_];
        rows.push_back({ { "process", lane.process_ }, { "vm", lane.vm_ }, { "zone", lane.zone_ },
            { "time_us", event.timeUs_ }, { "event", event.name_ }, { "facts", event.fields_ } });
    }
    return rows.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

std::string toSvg(const Timeline& timeline)
{
    int width = laneX(std::max<std::size_t>(timeline.lanes_.size(), 1)) + margin;
    std::string svg
        = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
                      "font-family=\"monospace\" font-size=\"10\">\n<defs><marker id=\"tip\" refX=\"7\" "
                      "refY=\"3\" markerWidth=\"8\" markerHeight=\"6\" orient=\"auto\"><path "
                      "d=\"M0,0 L8,3 L0,6 z\" fill=\"#e08e2b\"/></marker></defs>\n"
                      "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
            width, rowY(timeline.events_.size()) + margin);
    for (std::size_t lane = 0; lane < timeline.lanes_.size(); ++lane)
        svg += drawLane(timeline, lane);
    for (const TimelineArrow& arrow : timeline.arrows_)
        svg += drawArrow(timeline, arrow);
    for (std::size_t row = 0; row < timeline.events_.size(); ++row)
        svg += drawEvent(timeline.events_[row], row);
    return svg + "</svg>\n";
}

std::string toHtml(const Timeline& timeline)
{
    std::string rows;
    for (const TimelineLane& lane : timeline.lanes_)
        rows += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td></tr>\n", escaped(labelOf(lane)),
            escaped(lane.zone_), escaped(lane.file_));
    return fmt::format(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
        "Timeline</title></head>\n<body style=\"font-family: sans-serif\">\n<h1>Timeline</h1>\n"
        "<p>{} events; {} lines skipped; {} contradictions. Hover over an event to see its "
        "fields.</p>\n<table><tr><th>process</th><th>zone</th><th>file</th></tr>\n{}</table>\n"
        "{}</body></html>\n",
        timeline.events_.size(), timeline.skippedLines_, timeline.contradictions_, rows, toSvg(timeline));
}

} // namespace fescue
