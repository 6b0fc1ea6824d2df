// docs/OPERATIONS.md names every setting, problem and metric.

#include "Cluster.h"
#include "Problem.h"
#include "Suite.h"

#include <fstream>
#include <sstream>

using namespace fescue;
using namespace fescue::test;

class OperationsPage : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OperationsPage);
    CPPUNIT_TEST(namesEachSetting);
    CPPUNIT_TEST(namesEachProblemWithItsStatus);
    CPPUNIT_TEST(namesEachMetric);
    CPPUNIT_TEST_SUITE_END();

public:
    void namesEachSetting();
    void namesEachProblemWithItsStatus();
    void namesEachMetric();
};

REGISTER_SUITE(OperationsPage);

namespace {

std::string pageText()
{
    std::ifstream file(std::string(FESCUE_SOURCES) + "/docs/OPERATIONS.md");
    return { std::istreambuf_iterator<char>(file), {} };
}

void checkPageNames(const std::string& page, const std::string& part)
{
    CPPUNIT_ASSERT_MESSAGE("docs/OPERATIONS.md lacks " + part, page.find(part) != std::string::npos);
}

} // namespace

void OperationsPage::namesEachSetting()
{
    std::string page = pageText();
    for (const char* program : { "fescue-gateway", "fescue-scheduler", "fescuectl" }) {
        std::istringstream help(runProcess(program, { "--help" }).output_);
        int settings = 0;
        for (std::string line; std::getline(help, line);) {
            if (line.rfind("  --", 0) != 0)
                continue;
            ++settings;
            checkPageNames(page, "`" + line.substr(2, line.find(' ', 2) - 2) + "`");
        }
        CHECK(settings > 3);
    }
}

void OperationsPage::namesEachProblemWithItsStatus()
{
    std::string page = pageText();
    for (int i = 0; i <= static_cast<int>(ProblemKind::Internal); ++i) {
        auto kind = static_cast<ProblemKind>(i);
        checkPageNames(
            page, "| `" + std::string(nameOf(kind)) + "` | " + std::to_string(httpStatusOf(kind)) + " | ");
    }
}

void OperationsPage::namesEachMetric()
{
    std::string page = pageText();
    Cluster cluster;
    std::string program = cluster.createProgram(0);
    cluster.modelCall(0, program, 1, conversation({ "hello" }), true);
    cluster.serviceCall(0, program, 2, "/invoices", "{}");
    cluster.call(0, "GET", "/none");
    cluster.serviceCall(0, program, 9, "/invoices", "{}");
    for (const auto* process : { cluster.entries_[0].gateway_.get(), cluster.entries_[0].scheduler_.get() }) {
        std::istringstream lines(
            cluster.client_.perform({ "GET", cluster.url(*process) + "/metrics" }).body_);
        std::string hash;
        std::string type;
        std::string name;
        for (std::string line; std::getline(lines, line);) {
            std::istringstream words(line);
            words >> hash >> type >> name;
            if (hash == "#" && type == "TYPE")
                checkPageNames(page, "`" + name.substr(std::string("fescue_").size()));
        }
    }
}
