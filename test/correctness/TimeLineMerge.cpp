// The timeline orders events by cause, regardless of clock skew.

#include "Cluster.h"
#include "EventLog.h"
#include "Suite.h"
#include "TimelinePicture.h"

#include <csignal>
#include <filesystem>
#include <fstream>

using namespace fescue;
using namespace fescue::test;
using nlohmann::json;

class TimeLineMerge : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TimeLineMerge);
    CPPUNIT_TEST(causesPrecedeEffectsDespiteClockSkew);
    CPPUNIT_TEST(offsetsOrderAStreamUnlessACauseContradicts);
    CPPUNIT_TEST(allEventsOfACycleAreListed);
    CPPUNIT_TEST(linesThatAreNotEventsAreCounted);
    CPPUNIT_TEST(linesAreValidJsonForAnyFieldValue);
    CPPUNIT_TEST(picturesEscapeFieldValues);
    CPPUNIT_TEST(realProcessesLogEveryStepOfACall);
    CPPUNIT_TEST_SUITE_END();

public:
    void causesPrecedeEffectsDespiteClockSkew();
    void offsetsOrderAStreamUnlessACauseContradicts();
    void allEventsOfACycleAreListed();
    void linesThatAreNotEventsAreCounted();
    void linesAreValidJsonForAnyFieldValue();
    void picturesEscapeFieldValues();
    void realProcessesLogEveryStepOfACall();
};

REGISTER_SUITE(TimeLineMerge);

namespace {

std::string line(
    const std::string& vm, std::int64_t timeUs, const std::string& event, json facts = json::object())
{
    facts.update(
        { { "process", "p" }, { "vm", vm }, { "zone", "z" }, { "time_us", timeUs }, { "event", event } });
    return facts.dump() + "\n";
}

std::size_t indexOf(const Timeline& timeline, const std::string& event)
{
    for (std::size_t i = 0; i < timeline.events_.size(); ++i) {
        if (timeline.events_[i].name_ == event)
            return i;
    }
    throw std::runtime_error("no event " + event);
}

// A request from one process to another and its answer; the clock of the second is `shift` ahead.
std::vector<EventFile> exchange(std::int64_t shift)
{
    json id { { "request", "7" } };
    json sent { { "request", "7" }, { "to", "b" } };
    return { { "b", line("b", 20 + shift, "call_received", id) + line("b", 30 + shift, "answer_sent", id) },
        { "a", line("a", 10, "request_sent", sent) + line("a", 40, "answer_received", id) } };
}

} // namespace

void TimeLineMerge::causesPrecedeEffectsDespiteClockSkew()
{
    std::vector<std::string> expected { "request_sent", "call_received", "answer_sent", "answer_received" };
    constexpr std::int64_t second = 1000000;
    for (std::int64_t shift : { -7 * second, std::int64_t { -15 }, std::int64_t { 0 }, 5 * second }) {
        Timeline merged = mergeTimeline(exchange(shift));
        std::vector<std::string> names;
        for (const TimelineEvent& event : merged.events_)
            names.push_back(event.name_);
        CHECK(names == expected);
        CHECK_EQUAL(std::size_t { 2 }, merged.arrows_.size());
        CHECK_EQUAL(std::size_t { 0 }, merged.contradictions_);
    }
}

void TimeLineMerge::offsetsOrderAStreamUnlessACauseContradicts()
{
    json first { { "shard", "z/1" }, { "offset", "1" } };
    json second { { "shard", "z/1" }, { "offset", "2" } };
    std::vector<EventFile> files { { "a", line("a", 90, "early", first) },
        { "b", line("b", 10, "late", second) } };
    Timeline byOffset = mergeTimeline(files);
    CHECK(indexOf(byOffset, "early") < indexOf(byOffset, "late"));

    files[0].text_ = line("a", 90, "call_received", { { "request", "7" } }) + line("a", 91, "early", first);
    files[1].text_ += line("b", 11, "request_sent", { { "request", "7" }, { "to", "a" } });
    Timeline byCause = mergeTimeline(files);
    CHECK(indexOf(byCause, "late") < indexOf(byCause, "early"));
    CHECK_EQUAL(std::size_t { 0 }, byCause.contradictions_);
}

void TimeLineMerge::allEventsOfACycleAreListed()
{
    std::vector<EventFile> files = exchange(0);
    files[1].text_ = line("a", 10, "answer_received", { { "request", "7" } })
        + line("a", 40, "request_sent", { { "request", "7" }, { "to", "b" } });
    Timeline merged = mergeTimeline(files);
    CHECK_EQUAL(std::size_t { 4 }, merged.events_.size());
    CHECK_EQUAL(std::size_t { 1 }, merged.contradictions_);
}

void TimeLineMerge::linesThatAreNotEventsAreCounted()
{
    Timeline merged = mergeTimeline({ { "a", line("a", 1, "whole") + "{\"event\": \"ha\n[]\n\xff\xfe\n" } });
    CHECK_EQUAL(std::size_t { 1 }, merged.events_.size());
    CHECK_EQUAL(std::size_t { 3 }, merged.skippedLines_);
}

void TimeLineMerge::linesAreValidJsonForAnyFieldValue()
{
    std::filesystem::path path
        = std::filesystem::temp_directory_path() / ("events-" + std::to_string(getpid()));
    openEventLog({ path, "p", "v\"1", "z" });
    std::vector<std::string> values { "plain", "", "a\"b\\c", "two\nlines", "{}", "\xff", "\xc3\xa9" };
    for (const std::string& value : values)
        logEvent("said", { { "value", value } });
    std::ifstream file(path);
    Timeline merged = mergeTimeline({ { "a", { std::istreambuf_iterator<char>(file), {} } } });
    std::filesystem::remove(path);
    CHECK_EQUAL(std::size_t { 0 }, merged.skippedLines_);
    CHECK_EQUAL(values.size(), merged.events_.size());
    CHECK_EQUAL(std::string("v\"1"), merged.lanes_[0].vm_);
    values[5] = "\xef\xbf\xbd";
    for (std::size_t i = 0; i < values.size(); ++i)
        CHECK_EQUAL(values[i], merged.events_[i].fields_["value"]);
}

void TimeLineMerge::picturesEscapeFieldValues()
{
    Timeline merged = mergeTimeline({ { "a", line("<b>", 1, "e", { { "detail", "<script>" } }) } });
    for (const std::string& picture : { toSvg(merged), toHtml(merged) }) {
        CHECK(picture.find("<script>") == std::string::npos);
        CHECK(picture.find("&lt;script&gt;") != std::string::npos);
    }
}

void TimeLineMerge::realProcessesLogEveryStepOfACall()
{
    ClusterOptions options;
    options.eventsFolder_
        = std::filesystem::temp_directory_path() / ("fescue-events-" + std::to_string(getpid()));
    std::filesystem::create_directories(options.eventsFolder_);
    Cluster cluster(options);
    std::string program = cluster.createProgram(0);
    CHECK_EQUAL(200, cluster.serviceCall(0, program, 1, "/invoices", "{}").status());
    EntryVm& vm = cluster.entries_[0];
    CHECK_EQUAL(0, vm.gateway_->signalAndWait(SIGTERM));
    CHECK_EQUAL(0, vm.scheduler_->signalAndWait(SIGTERM));
    std::vector<std::string> arguments { "timeline", "--output=json" };
    for (const auto& file : std::filesystem::directory_iterator(options.eventsFolder_))
        arguments.push_back(file.path());
    ProcessResult shown = runProcess("fescuectl", arguments);
    std::filesystem::remove_all(options.eventsFolder_);
    CHECK_EQUAL(0, shown.status_);
    json merged = json::parse(shown.output_);
    std::vector<std::string> steps;
    std::vector<std::string> outcomeSteps;
    std::string listing;
    for (const json& event : merged["events"]) {
        const json& facts = event["facts"];
        if (facts.value("program", "") != program || facts.value("call", "") != "1")
            continue;
        std::string record = facts.value("record", "");
        std::string step = event["event"].get<std::string>() + " " + record;
        (record == "outcome" ? outcomeSteps : steps).push_back(step);
        listing += step + "\n";
    }
    std::vector<std::string> expected { "request_received ", "request_sent ", "call_received ",
        "record_appended intent", "record_confirmed intent", "call_admitted ", "call_sent ",
        "target_answered ", "answer_sent ", "answer_received " };
    CPPUNIT_ASSERT_MESSAGE(listing, steps == expected);
    CHECK(
        outcomeSteps == (std::vector<std::string> { "record_appended outcome", "record_confirmed outcome" }));
}
