#include "Timeline.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <tuple>

namespace fescue {

using nlohmann::json;

namespace {

    // `effect_` cannot precede the first `cause_` whose fields have the same values. `vm` is a field of the
    // lane.
    struct CauseRule {
        const char* cause_;
        std::array<const char*, 2> causeFields_;
        const char* effect_;
        std::array<const char*, 2> effectFields_;
    };

    constexpr std::array<CauseRule, 4> causeRules { {
        { "request_sent", { "request", "to" }, "call_received", { "request", "vm" } },
        { "call_moved", { "request", "to" }, "request_moved", { "request", "to" } },
        { "answer_sent", { "request", "" }, "answer_received", { "request", "" } },
        { "batch_appended", { "writer", "sequence" }, "batch_read", { "writer", "sequence" } },
    } };

    constexpr std::array<const char*, 6> laneFields { "process", "vm", "zone", "time_us", "line", "event" };

    struct Node {
        std::vector<std::size_t> hardNext_; ///< Events that must come after this one.
        std::vector<std::size_t> softNext_; ///< Events that should come after this one.
        std::size_t pendingHard_ = 0;
        std::size_t pendingSoft_ = 0;
        std::int64_t clock_ = 0; ///< Own clock, or that of the latest cause if that is later.
        bool isPlaced_ = false;
    };

    std::string toText(const json& value)
    {
        return value.is_string() ? value.get<std::string>()
                                 : value.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    std::string fieldOf(const json& line, const char* name)
    {
        auto found = line.find(name);
        return found == line.end() ? std::string() : toText(*found);
    }

    std::size_t laneOf(Timeline& timeline, const std::string& file, const json& line)
    {
        TimelineLane lane { file, fieldOf(line, "process"), fieldOf(line, "vm"), fieldOf(line, "zone") };
        for (std::size_t i = 0; i < timeline.lanes_.size(); ++i) {
            const TimelineLane& known = timeline.lanes_[i];
            if (known.file_ == file && known.process_ == lane.process_ && known.vm_ == lane.vm_
                && known.zone_ == lane.zone_)
                return i;
        }
        timeline.lanes_.push_back(std::move(lane));
        return timeline.lanes_.size() - 1;
    }

    void readLine(Timeline& timeline, const std::string& file, const std::string& text)
    {
        json line = json::parse(text, nullptr, false);
        bool isEvent = line.is_object() && line.contains("event") && line["event"].is_string()
            && line.contains("time_us") && line["time_us"].is_number_integer();
        if (!isEvent) {
            ++timeline.skippedLines_;
            return;
        }
        TimelineEvent event;
        event.lane_ = laneOf(timeline, file, line);
        event.timeUs_ = line["time_us"].get<std::int64_t>();
        event.name_ = line["event"].get<std::string>();
        for (const auto& [name, value] : line.items()) {
            bool isLaneField = std::find(laneFields.begin(), laneFields.end(), name) != laneFields.end();
            bool isDefaultLevel = name == "level" && value == "info";
            if (!isLaneField && !isDefaultLevel)
                event.fields_[name] = toText(value);
        }
        timeline.events_.push_back(std::move(event));
    }

    std::string eventField(const Timeline& timeline, const TimelineEvent& event, const std::string& name)
    {
        if (name == "vm")
            return timeline.lanes_[event.lane_].vm_;
        auto found = event.fields_.find(name);
        return found == event.fields_.end() ? std::string() : found->second;
    }

    void addHard(std::vector<Node>& nodes, std::size_t from, std::size_t to)
    {
        nodes[from].hardNext_.push_back(to);
        ++nodes[to].pendingHard_;
    }

    void addProcessOrder(const Timeline& timeline, std::vector<Node>& nodes)
    {
        std::map<std::size_t, std::size_t> lastOfLane;
        for (std::size_t i = 0; i < timeline.events_.size(); ++i) {
            auto [last, isFirst] = lastOfLane.try_emplace(timeline.events_[i].lane_, i);
            if (!isFirst)
                addHard(nodes, last->second, i);
            last->second = i;
        }
    }

    std::vector<TimelineArrow> findArrows(const Timeline& timeline, const CauseRule& rule)
    {
        using Key = std::pair<std::string, std::string>;
        std::map<Key, std::size_t> causes;
        auto keyOf = [&timeline](const TimelineEvent& event, const std::array<const char*, 2>& fields) {
            return Key { eventField(timeline, event, fields[0]), eventField(timeline, event, fields[1]) };
        };
        for (std::size_t i = 0; i < timeline.events_.size(); ++i) {
            if (timeline.events_[i].name_ == rule.cause_)
                causes.try_emplace(keyOf(timeline.events_[i], rule.causeFields_), i);
        }
        std::vector<TimelineArrow> arrows;
        for (std::size_t i = 0; i < timeline.events_.size(); ++i) {
            if (timeline.events_[i].name_ != rule.effect_)
                continue;
            auto cause = causes.find(keyOf(timeline.events_[i], rule.effectFields_));
            if (cause != causes.end() && !cause->first.first.empty())
                arrows.push_back({ cause->second, i });
        }
        return arrows;
    }

    void addCauses(Timeline& timeline, std::vector<Node>& nodes)
    {
        for (const CauseRule& rule : causeRules) {
            for (const TimelineArrow& arrow : findArrows(timeline, rule)) {
                addHard(nodes, arrow.cause_, arrow.effect_);
                if (timeline.events_[arrow.cause_].lane_ != timeline.events_[arrow.effect_].lane_)
                    timeline.arrows_.push_back(arrow);
            }
        }
    }

    std::string streamOf(const Timeline& timeline, const TimelineEvent& event)
    {
        std::string shard = eventField(timeline, event, "shard");
        return shard.empty() ? "config" : shard;
    }

    void addOffsetOrder(const Timeline& timeline, std::vector<Node>& nodes)
    {
        std::map<std::string, std::map<std::uint64_t, std::vector<std::size_t>>> streams;
        for (std::size_t i = 0; i < timeline.events_.size(); ++i) {
            const TimelineEvent& event = timeline.events_[i];
            std::string offset = eventField(timeline, event, "offset");
            bool isNumber = !offset.empty() && offset.size() < 19
                && offset.find_first_not_of("0123456789") == std::string::npos;
            if (isNumber)
                streams[streamOf(timeline, event)][std::stoull(offset)].push_back(i);
        }
        for (const auto& [stream, offsets] : streams) {
            const std::vector<std::size_t>* previous = nullptr;
            for (const auto& [offset, events] : offsets) {
                // Only the first reader of an offset is ordered; the others may lag.
                if (previous) {
                    nodes[previous->front()].softNext_.push_back(events.front());
                    ++nodes[events.front()].pendingSoft_;
                }
                previous = &events;
            }
        }
    }

    // Places nodes whose predecessors are all placed, by clock. Ignores offsets where they contradict causes,
    // and causes only in a cycle.
    class Merger {
    public:
        explicit Merger(std::vector<Node> nodes)
            : nodes_(std::move(nodes))
        {
            for (std::size_t i = 0; i < nodes_.size(); ++i)
                setOf(i).insert(keyOf(i));
        }

        std::vector<std::size_t> run()
        {
            std::vector<std::size_t> order;
            while (order.size() < nodes_.size()) {
                EventSet& from = firstNonEmptySet();
                std::size_t next = from.begin()->second;
                contradictions_ += &from == &blocked_ ? 1 : 0;
                from.erase(from.begin());
                nodes_[next].isPlaced_ = true;
                order.push_back(next);
                release(next);
            }
            return order;
        }

        std::size_t contradictions() const { return contradictions_; }

    private:
        using EventSet = std::set<std::pair<std::int64_t, std::size_t>>;

        std::pair<std::int64_t, std::size_t> keyOf(std::size_t i) const { return { nodes_[i].clock_, i }; }

        EventSet& setOf(std::size_t i)
        {
            if (nodes_[i].pendingHard_ > 0)
                return blocked_;
            return nodes_[i].pendingSoft_ > 0 ? lagging_ : ready_;
        }

        EventSet& firstNonEmptySet()
        {
            if (!ready_.empty())
                return ready_;
            return lagging_.empty() ? blocked_ : lagging_;
        }

        template <typename Change> void change(std::size_t i, Change change)
        {
            if (nodes_[i].isPlaced_)
                return;
            setOf(i).erase(keyOf(i));
            change(nodes_[i]);
            setOf(i).insert(keyOf(i));
        }

        void release(std::size_t placed)
        {
            std::int64_t clock = nodes_[placed].clock_;
            for (std::size_t i : nodes_[placed].hardNext_) {
                change(i, [clock](Node& node) {
                    --node.pendingHard_;
                    node.clock_ = std::max(node.clock_, clock);
                });
            }
            for (std::size_t i : nodes_[placed].softNext_)
                change(i, [](Node& node) { --node.pendingSoft_; });
        }

        std::vector<Node> nodes_;
        EventSet ready_;
        EventSet lagging_;
        EventSet blocked_;
        std::size_t contradictions_ = 0;
    };

    void reorder(Timeline& timeline, const std::vector<std::size_t>& order)
    {
        std::vector<std::size_t> newIndex(order.size());
        std::vector<TimelineEvent> events;
        events.reserve(order.size());
        for (std::size_t index = 0; index < order.size(); ++index) {
            newIndex[order[index]] = index;
            events.push_back(std::move(timeline.events_[order[index]]));
        }
        timeline.events_ = std::move(events);
        for (TimelineArrow& arrow : timeline.arrows_)
            arrow = { newIndex[arrow.cause_], newIndex[arrow.effect_] };
    }

} // namespace

Timeline mergeTimeline(const std::vector<EventFile>& files)
{
    Timeline timeline;
    for (const EventFile& file : files) {
        std::istringstream lines(file.text_);
        std::string line;
        while (std::getline(lines, line))
            readLine(timeline, file.name_, line);
    }
    std::vector<Node> nodes(timeline.events_.size());
    for (std::size_t i = 0; i < nodes.size(); ++i)
        nodes[i].clock_ = timeline.events_[i].timeUs_;
    addProcessOrder(timeline, nodes);
    addCauses(timeline, nodes);
    addOffsetOrder(timeline, nodes);
    Merger merger(std::move(nodes));
    reorder(timeline, merger.run());
    timeline.contradictions_ = merger.contradictions();
    return timeline;
}

} // namespace fescue
