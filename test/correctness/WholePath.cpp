// Runs a program from its creation to its end through separate processes in two availability zones.

#include "Cluster.h"
#include "Suite.h"

using namespace fescue::test;

class WholePath : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WholePath);
    CPPUNIT_TEST(programRunsThroughTheGatewaysOfBothZones);
    CPPUNIT_TEST_SUITE_END();

public:
    void programRunsThroughTheGatewaysOfBothZones();
};

REGISTER_SUITE(WholePath);

namespace {

std::string contentOf(const Answer& answer)
{
    return answer.json()["choices"][0]["message"]["content"].get<std::string>();
}

} // namespace

void WholePath::programRunsThroughTheGatewaysOfBothZones()
{
    ClusterOptions options;
    options.zones_ = { "zone-a", "zone-b" };
    Cluster cluster(options);
    for (std::size_t first : { 0U, 1U }) {
        std::size_t second = 1 - first;
        std::string program = cluster.createProgram(first);
        Answer stream
            = cluster.modelCall(first, program, 1, conversation({ "Renew the lease of mast 17." }), true);
        CHECK_EQUAL(200, stream.status());
        CHECK(stream.http_.body_.find("data: [DONE]") != std::string::npos);
        Answer repeat
            = cluster.modelCall(second, program, 1, conversation({ "Renew the lease of mast 17." }), true);
        CHECK_EQUAL(200, repeat.status());

        Answer invoice = cluster.serviceCall(second, program, 2, "/invoices", "{\"amount\": 120}");
        CHECK_EQUAL(200, invoice.status());
        CHECK_EQUAL(1, cluster.executions(program, 2));

        std::string content;
        for (int i = 0; i < 16; ++i)
            content += "w" + std::to_string(i) + " ";
        auto messages = conversation({ "Renew the lease of mast 17.", content, "And of mast 18." });
        Answer next = cluster.modelCall(first, program, 3, messages);
        CHECK_EQUAL(200, next.status());
        CHECK(!contentOf(next).empty());
        CHECK(next.json()["usage"]["prompt_tokens_details"]["cached_tokens"].get<int>() > 0);

        CHECK_EQUAL(200, cluster.call(second, "DELETE", "/v1/programs/" + program).status());
        waitUntil("the engines have released the cache", [&] { return cluster.cachedKeys().empty(); });
    }
}
