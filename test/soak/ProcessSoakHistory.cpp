#include "ProcessSoakHistory.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <set>
#include <sstream>

namespace fescue::test {

namespace {

    constexpr int ok = 200;
    constexpr int maxRunsOfRead = 2; // `max-attempts` of the route.

    bool isStream(ProcessSoakKind kind)
    {
        return kind == ProcessSoakKind::Turn || kind == ProcessSoakKind::Note;
    }

    bool runsOnce(ProcessSoakKind kind)
    {
        return kind == ProcessSoakKind::Note || kind == ProcessSoakKind::Call;
    }

    bool impliesNotRun(int status)
    {
        const std::set<int> statuses { 402, 408, 421, 429, 503 };
        return statuses.count(status) > 0;
    }

    std::string startOfEvent(int number)
    {
        return fmt::format("id: {}\ndata: {} of {} ", number, number, processSoakEvents);
    }

    // The label in an event; empty if the event is not the stream's next one.
    std::string labelOf(const std::string& event, int number, const std::string& path)
    {
        std::string start = startOfEvent(number);
        std::string end = " " + path;
        bool isExpected = event.size() > start.size() + end.size()
            && event.compare(0, start.size(), start) == 0
            && event.compare(event.size() - end.size(), end.size(), end) == 0;
        return isExpected ? event.substr(start.size(), event.size() - start.size() - end.size())
                          : std::string();
    }

    // Service and version in a label.
    std::string originOf(const std::string& label) { return label.substr(0, label.rfind('/')); }

    class StreamCheck {
    public:
        StreamCheck(ProcessSoakHistory& history, const std::string& id)
            : history_(history)
            , id_(id)
            , path_(history.attempts_[id].path_)
            , stream_(history.streams_[path_])
        {
        }

        void check(const ProcessSoakAnswer& answer)
        {
            bool isResumed = stream_.lastEvent_ > 0;
            int before = stream_.lastEvent_;
            std::string rest = answer.body_;
            for (std::size_t end = rest.find("\n\n"); end != std::string::npos; end = rest.find("\n\n")) {
                if (!takeEvent(rest.substr(0, end)))
                    return;
                rest.erase(0, end + 2);
            }
            history_.goneOn_ += isResumed && stream_.lastEvent_ > before ? 1 : 0;
            checkTornEvent(rest);
            if (!answer.isComplete_)
                return;
            stream_.isComplete_ = true;
            if (!rest.empty())
                report("ends as complete inside an event: " + rest);
            if (stream_.lastEvent_ != processSoakEvents)
                report(fmt::format("ends as complete after event {}", stream_.lastEvent_));
        }

    private:
        bool takeEvent(const std::string& event)
        {
            int number = stream_.lastEvent_ + 1;
            std::string label = labelOf(event, number, path_);
            if (label.empty() || number > processSoakEvents) {
                report(fmt::format("event {} was expected, but received: {}", number, event));
                return false;
            }
            if (stream_.firstAttempt_.empty()) {
                stream_.firstAttempt_ = id_;
                stream_.origin_ = originOf(label);
            }
            if (originOf(label) != stream_.origin_) {
                report(
                    fmt::format("event {} is of {}, but the stream of {}", number, label, stream_.origin_));
                stream_.origin_ = originOf(label); // Each change is reported once.
            }
            stream_.lastEvent_ = number;
            return true;
        }

        void checkTornEvent(const std::string& rest)
        {
            std::string start = startOfEvent(stream_.lastEvent_ + 1);
            std::size_t size = std::min(rest.size(), start.size());
            if (rest.compare(0, size, start, 0, size) != 0)
                report("text inside the stream: " + rest);
        }

        void report(const std::string& what)
        {
            history_.violations_.push_back(
                fmt::format("{} ({}, through {}): {}", id_, path_, history_.attempts_[id_].vm_, what));
        }

        ProcessSoakHistory& history_;
        const std::string& id_;
        std::string path_;
        ProcessSoakStream& stream_;
    };

    void checkPlain(
        ProcessSoakHistory& history, const std::string& id, const std::string& path, const std::string& body)
    {
        std::string expected = path;
        expected.resize(processSoakAnswerBytes, 'x');
        if (body != expected)
            history.violations_.push_back(fmt::format(
                "{} ({}) succeeded with another body of {} bytes: {:.60}", id, path, body.size(), body));
    }

    // One run at a target process.
    struct LoggedRun {
        bool isUnframedStream_ = false;
        int lastEvent_ = 0;
        bool hasEnded_ = false;
    };

    // The runs of one process, by their numbers.
    using LoggedRuns = std::map<std::size_t, LoggedRun>;

    void addRun(ProcessSoakHistory& history, LoggedRuns& runs, std::size_t number, std::istringstream& words)
    {
        std::string id;
        std::string resumes;
        std::string path;
        int first = 0;
        if (!(words >> id >> resumes >> first >> path))
            return; // The process was killed while it wrote the line.
        auto found = history.attempts_.find(id);
        if (found == history.attempts_.end() || found->second.path_ != path) {
            history.violations_.push_back(
                fmt::format("a target ran {} of {}, which no caller sent", id, path));
            return;
        }
        ++found->second.runs_;
        runs[number]
            = { isStream(found->second.kind_) && path.find("/none/") != std::string::npos, first - 1, false };
    }

    void countKilledRuns(ProcessSoakHistory& history, const LoggedRuns& runs)
    {
        history.killedUnframed_
            += static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [](const auto& entry) {
                   const LoggedRun& run = entry.second;
                   return run.isUnframedStream_ && !run.hasEnded_ && run.lastEvent_ > 0
                       && run.lastEvent_ < processSoakEvents;
               }));
    }

} // namespace

void recordAnswer(ProcessSoakHistory& history, const std::string& id, const ProcessSoakAnswer& answer)
{
    ProcessSoakAttempt& attempt = history.attempts_[id];
    attempt.hasEnded_ = true;
    if (answer.isComplete_ && impliesNotRun(answer.status_))
        attempt.refusal_ = answer.status_;
    if (answer.isComplete_ && (answer.status_ == 400 || answer.status_ == 404))
        history.violations_.push_back(
            fmt::format("{} was answered with {} although it is valid", id, answer.status_));
    if (answer.status_ != ok)
        return;
    if (answer.stamp_ != "s." + id)
        history.violations_.push_back(
            fmt::format("{} ({}) has the stamp '{}'", id, attempt.path_, answer.stamp_));
    if (isStream(attempt.kind_))
        StreamCheck(history, id).check(answer);
    else if (answer.isComplete_)
        checkPlain(history, id, attempt.path_, answer.body_);
}

void readTargetLog(ProcessSoakHistory& history, const std::string& file)
{
    std::ifstream log(file);
    LoggedRuns runs;
    for (std::string line; std::getline(log, line);) {
        std::istringstream words(line);
        std::string step;
        std::size_t number = 0;
        words >> step >> number;
        if (step == "http") { // The next process.
            countKilledRuns(history, runs);
            runs.clear();
        }
        if (step == "run")
            addRun(history, runs, number, words);
        if (step == "event")
            words >> runs[number].lastEvent_;
        if (step == "end")
            runs[number].hasEnded_ = true;
    }
    // The last process is ended by the soak itself.
}

void checkRuns(ProcessSoakHistory& history)
{
    for (const auto& [id, attempt] : history.attempts_) {
        int maxRuns = attempt.kind_ == ProcessSoakKind::Read ? maxRunsOfRead : 1;
        if (attempt.kind_ != ProcessSoakKind::Turn && attempt.runs_ > maxRuns)
            history.violations_.push_back(
                fmt::format("{} ({}) ran {} times", id, attempt.path_, attempt.runs_));
        if (runsOnce(attempt.kind_) && attempt.refusal_ > 0 && attempt.runs_ > 0)
            history.violations_.push_back(
                fmt::format("{} ({}) was refused with {}, which means not run, but it ran", id, attempt.path_,
                    attempt.refusal_));
        if (!attempt.hasEnded_)
            history.violations_.push_back(
                fmt::format("{} ({}) was not answered by {}", id, attempt.path_, attempt.vm_));
    }
}

} // namespace fescue::test
