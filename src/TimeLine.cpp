#include "TimeLine.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <tuple>

namespace fescue {

using nlohmann::json;

namespace {

    // `effect_` cannot come before the first `cause_` whose facts have the same values. `vm` is a fact of
    // the lane.
    struct CauseRule {
        const char* cause_;
        std::array<const char*, 2> causeFacts_;
        const char* effect_;
        std::array<const char*, 2> effectFacts_;
    };

    constexpr std::array<CauseRule, 4> causeRules { {
        { "request_sent", { "request", "to" }, "call_received", { "request", "vm" } },
        { "call_moved", { "request", "to" }, "request_moved", { "request", "to" } },
        { "answer_sent", { "request", "" }, "answer_received", { "request", "" } },
        { "batch_appended", { "writer", "sequence" }, "batch_read", { "writer", "sequence" } },
    } };

    constexpr std::array<const char*, 6> laneFacts { "process", "vm", "zone", "time_us", "line", "event" };

    struct Node {
        std::vector<std::size_t> hardNext_; ///< Events that must come later.
        std::vector<std::size_t> softNext_; ///< Events that come later if nothing speaks against it.
        std::size_t hardLeft_ = 0;
        std::size_t softLeft_ = 0;
        std::int64_t clock_ = 0; ///< Own clock, or that of the latest cause if it is later.
        bool isListed_ = false;
    };

    std::string textOf(const json& value)
    {
        return value.is_string() ? value.get<std::string>()
                                 : value.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    std::string memberOf(const json& line, const char* name)
    {
        auto found = line.find(name);
        return found == line.end() ? std::string() : textOf(*found);
    }

    std::size_t laneOf(TimeLine& timeLine, const std::string& file, const json& line)
    {
        TimeLineLane lane { file, memberOf(line, "process"), memberOf(line, "vm"), memberOf(line, "zone") };
        for (std::size_t i = 0; i < timeLine.lanes_.size(); ++i) {
            const TimeLineLane& known = timeLine.lanes_[i];
            if (known.file_ == file && known.process_ == lane.process_ && known.vm_ == lane.vm_
                && known.zone_ == lane.zone_)
                return i;
        }
        timeLine.lanes_.push_back(std::move(lane));
        return timeLine.lanes_.size() - 1;
    }

    void readLine(TimeLine& timeLine, const std::string& file, const std::string& text)
    {
        json line = json::parse(text, nullptr, false);
        bool isEvent = line.is_object() && line.contains("event") && line["event"].is_string()
            && line.contains("time_us") && line["time_us"].is_number_integer();
        if (!isEvent) {
            ++timeLine.skippedLines_;
            return;
        }
        TimeLineEvent event;
        event.lane_ = laneOf(timeLine, file, line);
        event.timeUs_ = line["time_us"].get<std::int64_t>();
        event.name_ = line["event"].get<std::string>();
        for (const auto& [name, value] : line.items()) {
            bool isOfLane = std::find(laneFacts.begin(), laneFacts.end(), name) != laneFacts.end();
            bool isUsual = name == "level" && value == "info";
            if (!isOfLane && !isUsual)
                event.facts_[name] = textOf(value);
        }
        timeLine.events_.push_back(std::move(event));
    }

    std::string factOf(const TimeLine& timeLine, const TimeLineEvent& event, const std::string& name)
    {
        if (name == "vm")
            return timeLine.lanes_[event.lane_].vm_;
        auto found = event.facts_.find(name);
        return found == event.facts_.end() ? std::string() : found->second;
    }

    void addHard(std::vector<Node>& nodes, std::size_t from, std::size_t to)
    {
        nodes[from].hardNext_.push_back(to);
        ++nodes[to].hardLeft_;
    }

    void addProcessOrder(const TimeLine& timeLine, std::vector<Node>& nodes)
    {
        std::map<std::size_t, std::size_t> lastOfLane;
        for (std::size_t i = 0; i < timeLine.events_.size(); ++i) {
            auto [last, isFirst] = lastOfLane.try_emplace(timeLine.events_[i].lane_, i);
            if (!isFirst)
                addHard(nodes, last->second, i);
            last->second = i;
        }
    }

    std::vector<TimeLineArrow> findArrows(const TimeLine& timeLine, const CauseRule& rule)
    {
        using Key = std::pair<std::string, std::string>;
        std::map<Key, std::size_t> causes;
        auto keyOf = [&timeLine](const TimeLineEvent& event, const std::array<const char*, 2>& facts) {
            return Key { factOf(timeLine, event, facts[0]), factOf(timeLine, event, facts[1]) };
        };
        for (std::size_t i = 0; i < timeLine.events_.size(); ++i) {
            if (timeLine.events_[i].name_ == rule.cause_)
                causes.try_emplace(keyOf(timeLine.events_[i], rule.causeFacts_), i);
        }
        std::vector<TimeLineArrow> arrows;
        for (std::size_t i = 0; i < timeLine.events_.size(); ++i) {
            if (timeLine.events_[i].name_ != rule.effect_)
                continue;
            auto cause = causes.find(keyOf(timeLine.events_[i], rule.effectFacts_));
            if (cause != causes.end() && !cause->first.first.empty())
                arrows.push_back({ cause->second, i });
        }
        return arrows;
    }

    void addCauses(TimeLine& timeLine, std::vector<Node>& nodes)
    {
        for (const CauseRule& rule : causeRules) {
            for (const TimeLineArrow& arrow : findArrows(timeLine, rule)) {
                addHard(nodes, arrow.cause_, arrow.effect_);
                if (timeLine.events_[arrow.cause_].lane_ != timeLine.events_[arrow.effect_].lane_)
                    timeLine.arrows_.push_back(arrow);
            }
        }
    }

    std::string streamOfEvent(const TimeLine& timeLine, const TimeLineEvent& event)
    {
        std::string shard = factOf(timeLine, event, "shard");
        return shard.empty() ? "config" : shard;
    }

    void addOffsetOrder(const TimeLine& timeLine, std::vector<Node>& nodes)
    {
        std::map<std::string, std::map<std::uint64_t, std::vector<std::size_t>>> streams;
        for (std::size_t i = 0; i < timeLine.events_.size(); ++i) {
            const TimeLineEvent& event = timeLine.events_[i];
            std::string offset = factOf(timeLine, event, "offset");
            bool isNumber = !offset.empty() && offset.size() < 19
                && offset.find_first_not_of("0123456789") == std::string::npos;
            if (isNumber)
                streams[streamOfEvent(timeLine, event)][std::stoull(offset)].push_back(i);
        }
        for (const auto& [stream, offsets] : streams) {
            const std::vector<std::size_t>* before = nullptr;
            for (const auto& [offset, events] : offsets) {
                // The first reader of an offset stands for it; the others may lag.
                if (before) {
                    nodes[before->front()].softNext_.push_back(events.front());
                    ++nodes[events.front()].softLeft_;
                }
                before = &events;
            }
        }
    }

    // Lists nodes whose causes are all listed, by clock; offsets give way to causes, and causes give way
    // only in a cycle.
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
                Waiting& from = firstFilled();
                std::size_t next = from.begin()->second;
                contradictions_ += &from == &blocked_ ? 1 : 0;
                from.erase(from.begin());
                nodes_[next].isListed_ = true;
                order.push_back(next);
                release(next);
            }
            return order;
        }

        std::size_t contradictions() const { return contradictions_; }

    private:
        using Waiting = std::set<std::pair<std::int64_t, std::size_t>>;

        std::pair<std::int64_t, std::size_t> keyOf(std::size_t i) const { return { nodes_[i].clock_, i }; }

        Waiting& setOf(std::size_t i)
        {
            if (nodes_[i].hardLeft_ > 0)
                return blocked_;
            return nodes_[i].softLeft_ > 0 ? lagging_ : ready_;
        }

        Waiting& firstFilled()
        {
            if (!ready_.empty())
                return ready_;
            return lagging_.empty() ? blocked_ : lagging_;
        }

        template <typename Change> void change(std::size_t i, Change change)
        {
            if (nodes_[i].isListed_)
                return;
            setOf(i).erase(keyOf(i));
            change(nodes_[i]);
            setOf(i).insert(keyOf(i));
        }

        void release(std::size_t listed)
        {
            std::int64_t clock = nodes_[listed].clock_;
            for (std::size_t i : nodes_[listed].hardNext_) {
                change(i, [clock](Node& node) {
                    --node.hardLeft_;
                    node.clock_ = std::max(node.clock_, clock);
                });
            }
            for (std::size_t i : nodes_[listed].softNext_)
                change(i, [](Node& node) { --node.softLeft_; });
        }

        std::vector<Node> nodes_;
        Waiting ready_;
        Waiting lagging_;
        Waiting blocked_;
        std::size_t contradictions_ = 0;
    };

    void reorder(TimeLine& timeLine, const std::vector<std::size_t>& order)
    {
        std::vector<std::size_t> placeOf(order.size());
        std::vector<TimeLineEvent> events;
        events.reserve(order.size());
        for (std::size_t place = 0; place < order.size(); ++place) {
            placeOf[order[place]] = place;
            events.push_back(std::move(timeLine.events_[order[place]]));
        }
        timeLine.events_ = std::move(events);
        for (TimeLineArrow& arrow : timeLine.arrows_)
            arrow = { placeOf[arrow.cause_], placeOf[arrow.effect_] };
    }

} // namespace

TimeLine mergeTimeLine(const std::vector<EventFile>& files)
{
    TimeLine timeLine;
    for (const EventFile& file : files) {
        std::istringstream lines(file.text_);
        std::string line;
        while (std::getline(lines, line))
            readLine(timeLine, file.name_, line);
    }
    std::vector<Node> nodes(timeLine.events_.size());
    for (std::size_t i = 0; i < nodes.size(); ++i)
        nodes[i].clock_ = timeLine.events_[i].timeUs_;
    addProcessOrder(timeLine, nodes);
    addCauses(timeLine, nodes);
    addOffsetOrder(timeLine, nodes);
    Merger merger(std::move(nodes));
    reorder(timeLine, merger.run());
    timeLine.contradictions_ = merger.contradictions();
    return timeLine;
}

} // namespace fescue
