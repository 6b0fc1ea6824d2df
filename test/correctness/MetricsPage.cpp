// Metrics pages show the activity of a VM. Callers cannot increase the number of series.

#include "Cluster.h"
#include "Metrics.h"
#include "Suite.h"

#include <set>
#include <sstream>

using namespace fescue;
using namespace fescue::test;

class MetricsPage : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MetricsPage);
    CPPUNIT_TEST(gatewayAndSchedulerCountRequests);
    CPPUNIT_TEST(labelsAreEscapedAndTypesWrittenOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void gatewayAndSchedulerCountRequests();
    void labelsAreEscapedAndTypesWrittenOnce();
};

REGISTER_SUITE(MetricsPage);

namespace {

// Values of series, by name and labels.
std::map<std::string, double> seriesOf(const std::string& page)
{
    std::map<std::string, double> series;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        auto space = line.rfind(' ');
        if (line.empty() || line[0] == '#' || space == std::string::npos)
            continue;
        CHECK(series.emplace(line.substr(0, space), std::stod(line.substr(space + 1))).second);
    }
    return series;
}

} // namespace

void MetricsPage::gatewayAndSchedulerCountRequests()
{
    Cluster cluster;
    std::string program = cluster.createProgram(0);
    CHECK_EQUAL(200, cluster.modelCall(0, program, 1, conversation({ "hello" }), true).status());
    CHECK_EQUAL(409, cluster.serviceCall(0, program, 9, "/invoices", "{}").status());
    for (int i = 0; i < 20; ++i)
        cluster.call(0, "POST", "/made-up-" + std::to_string(i));
    auto page = [&](const Process& process) {
        return seriesOf(cluster.client_.perform({ "GET", cluster.url(process) + "/metrics" }).body_);
    };
    auto gateway = page(*cluster.entries_[0].gateway_);
    CHECK_EQUAL(1.0, gateway["fescue_gateway_requests_total{operation=\"model-call\"}"]);
    CHECK_EQUAL(20.0, gateway["fescue_gateway_problems_total{kind=\"unknown-path\"}"]);
    CHECK_EQUAL(1.0, gateway["fescue_gateway_ready"]);
    CHECK_EQUAL(1.0, gateway["fescue_gateway_first_event_seconds_count"]);
    CHECK_EQUAL(3.0, gateway["fescue_gateway_request_seconds_count"]);
    auto scheduler = page(*cluster.entries_[0].scheduler_);
    CHECK_EQUAL(1.0, scheduler["fescue_scheduler_requests_total{operation=\"create-program\"}"]);
    CHECK_EQUAL(1.0, scheduler["fescue_scheduler_problems_total{kind=\"call-out-of-order\"}"]);
    CHECK_EQUAL(1.0, scheduler["fescue_scheduler_shards_owned"]);
    CHECK_EQUAL(1.0, scheduler["fescue_scheduler_programs"]);
    CHECK_EQUAL(1.0, scheduler["fescue_scheduler_engine_seconds_count"]);
    CHECK(scheduler["fescue_scheduler_append_seconds_count"] >= 2);
    CHECK(scheduler.count("fescue_scheduler_in_flight{target=\"engine-0\"}"));
    CHECK(scheduler.count("fescue_scheduler_queue_length"));
}

void MetricsPage::labelsAreEscapedAndTypesWrittenOnce()
{
    std::string page = metricsText({ { "g", { "target", "a\"b\\c\nd" }, 1 }, { "g", { "target", "e" }, 2 } });
    CHECK(page.find("fescue_g{target=\"a\\\"b\\\\c d\"} 1\nfescue_g{target=\"e\"} 2\n") != std::string::npos);
    CHECK_EQUAL(page.find("# TYPE fescue_g gauge"), page.rfind("# TYPE fescue_g gauge"));
}
