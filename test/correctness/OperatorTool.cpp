// Runs fescuectl and checks verdicts, hints, exit statuses and JSON output.

#include "Cluster.h"
#include "Suite.h"

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace fescue::test;
using nlohmann::json;

class OperatorTool : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OperatorTool);
    CPPUNIT_TEST(fetchedManifestCanBeEditedAndPublished);
    CPPUNIT_TEST(fetchStopsAtUnsupportedRulesAndReportsAGap);
    CPPUNIT_TEST(showsStatusAndPrograms);
    CPPUNIT_TEST(exitStatusReflectsTheOutcome);
    CPPUNIT_TEST(eachCommandHasHelp);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        folder_ = std::filesystem::temp_directory_path() / ("fescuectl-" + std::to_string(getpid()));
        std::filesystem::create_directories(folder_);
    }
    void tearDown() override { std::filesystem::remove_all(folder_); }

    void fetchedManifestCanBeEditedAndPublished();
    void fetchStopsAtUnsupportedRulesAndReportsAGap();
    void showsStatusAndPrograms();
    void exitStatusReflectsTheOutcome();
    void eachCommandHasHelp();

private:
    std::string write(const json& manifest) const
    {
        std::string path = folder_ / "manifest.json";
        std::ofstream(path) << manifest.dump();
        return path;
    }

    std::filesystem::path folder_;
};

REGISTER_SUITE(OperatorTool);

namespace {

struct CommandOutput {
    int status_ = 0;
    json document_;
};

CommandOutput run(std::vector<std::string> arguments)
{
    arguments.emplace_back("--output=json");
    ProcessResult finished = runProcess("fescuectl", arguments);
    return { finished.status_, json::parse(finished.output_, nullptr, false) };
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

void OperatorTool::fetchedManifestCanBeEditedAndPublished()
{
    Cluster cluster;
    std::string log = "--log_url=" + cluster.url(*cluster.log_);
    std::string scheduler = "--scheduler_url=" + cluster.url(*cluster.entries_[0].scheduler_);
    json change { { "sections", { { "models/agent-llm", { { "default_max_tokens", 32 } } } } } };
    CommandOutput rejected = run({ "publish", write(change), log });
    CHECK_EQUAL(1, rejected.status_);
    CHECK_EQUAL(false, rejected.document_["accepted"].get<bool>());
    CHECK(contains(rejected.document_["detail"], "fescuectl fetch"));

    CommandOutput fetched = run({ "fetch", scheduler });
    CHECK_EQUAL(0, fetched.status_);
    CHECK(fetched.document_["built_on"].contains("models/agent-llm"));
    json next = fetched.document_;
    next["sections"]["models/agent-llm"] = change["sections"]["models/agent-llm"];
    CommandOutput accepted = run({ "publish", write(next), log, scheduler });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(accepted.document_.dump(), 0, accepted.status_);
    CHECK_EQUAL(true, accepted.document_["in_force"].get<bool>());
    json now = run({ "fetch", log }).document_;
    CHECK_EQUAL(32, now["sections"]["models/agent-llm"]["default_max_tokens"].get<int>());
    CHECK(now["built_on"]["models/agent-llm"] == accepted.document_["offset"]);
}

void OperatorTool::fetchStopsAtUnsupportedRulesAndReportsAGap()
{
    Process log("standin-log", { "--retention=2" }, 1);
    std::string url = "http://127.0.0.1:" + std::to_string(log.port("http"));
    fescue::HttpClient client;
    auto append = [&](const json& entry) {
        client.perform({ "POST", url + "/streams/config", {}, entry.dump() });
    };
    append({ { "sections", { { "models/m", json::object() } } } });
    append({ { "author", "later" }, { "rules", 1000 } });
    CHECK_EQUAL(0, run({ "fetch", "--log_url=" + url }).status_);
    append({ { "sections", json::object() } });
    CommandOutput gap = run({ "fetch", "--log_url=" + url });
    CHECK_EQUAL(3, gap.status_);
    CHECK(contains(gap.document_["error"], "--scheduler_url"));
}

void OperatorTool::showsStatusAndPrograms()
{
    Cluster cluster;
    std::string program = cluster.createProgram(0);
    std::string scheduler = "--scheduler_url=" + cluster.url(*cluster.entries_[0].scheduler_);
    CHECK_EQUAL(std::string("zone-a-vm0"), run({ "status", scheduler }).document_["vm"].get<std::string>());
    CHECK(contains(run({ "programs", scheduler }).document_.dump(), program));
    CHECK(contains(runProcess("fescuectl", { "programs", scheduler }).output_, program));
    CHECK(contains(runProcess("fescuectl", { "status", scheduler }).output_, "epoch 1"));
}

void OperatorTool::exitStatusReflectsTheOutcome()
{
    std::string unreachableUrl = "http://127.0.0.1:1";
    std::string good = write({ { "sections", { { "models/m", json::object() } } } });
    CHECK_EQUAL(0, run({ "validate", good }).status_);
    CHECK_EQUAL(3, run({ "publish", good, "--log_url=" + unreachableUrl }).status_);
    CHECK_EQUAL(3, run({ "status", "--scheduler_url=" + unreachableUrl }).status_);
    CHECK_EQUAL(3, run({ "fetch", "--scheduler_url=" + unreachableUrl }).status_);
    CHECK_EQUAL(1, run({ "validate", folder_ / "none" }).status_);
    CHECK_EQUAL(1, run({ "timeline", folder_ / "none" }).status_);
    CommandOutput invalid
        = run({ "validate", write({ { "sections", { { "models/m", { { "typo", 1 } } } } } }) });
    CHECK_EQUAL(1, invalid.status_);
    CHECK(contains(invalid.document_["error"], "models/m"));
    CHECK_EQUAL(1, run({ "validate", write({ { "sections", 7 } }) }).status_);
    for (const std::vector<std::string>& wrong : std::vector<std::vector<std::string>> { {}, { "no_command" },
             { "validate" }, { "publish", good }, { "status" }, { "fetch" }, { "timeline" } })
        CHECK_EQUAL(2, run(wrong).status_);
    CHECK_EQUAL(2, runProcess("fescuectl", { "validate", good, "--output=xml" }).status_);
}

void OperatorTool::eachCommandHasHelp()
{
    for (const std::string command :
        { "validate", "publish", "fetch", "status", "programs", "hash_key", "timeline" }) {
        ProcessResult help = runProcess("fescuectl", { command, "--help" });
        CHECK_EQUAL(0, help.status_);
        CHECK(contains(help.output_, "fescuectl " + command));
        CHECK(!contains(help.output_, "hash_key KEY ") || command == "hash_key");
    }
}
