// Invalid requests get a problem document that says whether anything ran, and do not affect other callers.

#include "Cluster.h"
#include "RawConnection.h"
#include "Suite.h"

using namespace fescue;
using namespace fescue::test;
using nlohmann::json;

class BadRequests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BadRequests);
    CPPUNIT_TEST(eachInvalidRequestGetsItsProblemDocument);
    CPPUNIT_TEST(programOfAnotherWorkspaceIsInvisibleAndUnchanged);
    CPPUNIT_TEST(callsOutOfOrderAndReusedNumbersAreRejected);
    CPPUNIT_TEST(excessiveNestingIsRejected);
    CPPUNIT_TEST(oversizedBodiesAreRejectedAndOversizedHeadersCutOff);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachInvalidRequestGetsItsProblemDocument();
    void programOfAnotherWorkspaceIsInvisibleAndUnchanged();
    void callsOutOfOrderAndReusedNumbersAreRejected();
    void excessiveNestingIsRejected();
    void oversizedBodiesAreRejectedAndOversizedHeadersCutOff();
};

REGISTER_SUITE(BadRequests);

namespace {

constexpr const char* chat = "/v1/chat/completions";
constexpr const char* unknownId = "zone-a.3.1a23e15c948.6924abdbe8e600fa";

void checkProblem(const Answer& answer, int status, const std::string& kind, const std::string& runState,
    const std::string& what = {})
{
    std::string shown = what + ", expected " + kind + ": " + answer.http_.body_ + answer.http_.error_;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, status, answer.status());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        shown, std::string("application/problem+json"), answer.header("content-type"));
    json document = answer.json();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, "urn:fescue:" + kind, document.value("type", ""));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, runState, document.value("run_state", ""));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, runState, answer.header("fescue-run-state"));
    bool hasEarlierAttempts = kind == "call-out-of-order" || kind == "call-key-reused";
    CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::string(hasEarlierAttempts ? "outcome-unknown" : ""),
        document.value("earlier_attempts", ""));
    CPPUNIT_ASSERT_MESSAGE(shown, !document.value("detail", "").empty());
    bool mayRepeat = document.contains("retry_after_ms");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, mayRepeat, !answer.header("retry-after").empty());
}

Answer callWithKey(Cluster& cluster, const std::string& key, const std::string& method,
    const std::string& path, std::vector<std::string> headers = {}, const std::string& body = {})
{
    if (!key.empty())
        headers.push_back("Authorization: Bearer " + key);
    return { cluster.client_.perform(
        { method, cluster.url(*cluster.entries_[0].gateway_) + path, std::move(headers), body }) };
}

// A valid call of a new program still succeeds.
void checkServesOthers(Cluster& cluster)
{
    std::string program = cluster.createProgram(0);
    CHECK_EQUAL(200, cluster.modelCall(0, program, 1, conversation({ "hello" })).status());
}

} // namespace

void BadRequests::eachInvalidRequestGetsItsProblemDocument()
{
    struct InvalidRequest {
        std::string method_;
        std::string path_;
        std::string body_;
        std::vector<std::string> headers_;
        int status_;
        std::string kind_;
    };
    std::string program = std::string("Fescue-Program: ") + unknownId;
    std::string good = R"({"model": "agent-llm", "messages": [{"role": "user", "content": "hi"}]})";
    std::vector<InvalidRequest> requests {
        { "POST", chat, "{\"model\": ", {}, 400, "bad-request" },
        { "POST", chat, "[]", {}, 400, "bad-request" },
        { "POST", chat, "", {}, 400, "bad-request" },
        { "POST", chat, "{\"model\": \"agent-llm\"}", {}, 400, "bad-request" },
        { "POST", chat, R"({"model": "agent-llm", "messages": "hi"})", {}, 400, "bad-request" },
        { "POST", chat, R"({"model": "agent-llm", "messages": [7]})", {}, 400, "bad-request" },
        { "POST", chat, R"({"model": "agent-llm", "messages": []})", {}, 400, "bad-request" },
        { "POST", chat, R"({"model": 7, "messages": [{"role": "user"}]})", {}, 400, "bad-request" },
        { "POST", chat, "{\"model\": \"\xff\xfe\", \"messages\": []}", {}, 400, "bad-request" },
        { "POST", chat, R"({"model": "none", "messages": [{"role": "user"}]})", {}, 404, "unknown-model" },
        { "POST", chat, good, { program }, 400, "bad-request" },
        { "POST", chat, good, { "Fescue-Call: 1" }, 400, "bad-request" },
        { "POST", chat, good, { program, "Fescue-Call: 0" }, 400, "bad-request" },
        { "POST", chat, good, { program, "Fescue-Call: 99999999999" }, 400, "bad-request" },
        { "POST", chat, good, { program, "Fescue-Call: 1x" }, 400, "bad-request" },
        { "POST", chat, good, { "Fescue-Program: \xff\xfe", "Fescue-Call: 1" }, 400, "bad-request" },
        { "GET", chat, "", {}, 405, "wrong-method" },
        { "PATCH", "/v1/programs", "", {}, 405, "wrong-method" },
        { "POST", std::string("/v1/programs/") + unknownId, "", {}, 405, "wrong-method" },
        { "GET", "/v1/programs/no-id", "", {}, 400, "bad-request" },
        { "POST", "/v1/programs", "{\"budget\": -1}", {}, 400, "bad-request" },
        { "POST", "/v1/programs", "{\"budget\": 9000000000000000000000}", {}, 400, "bad-request" },
        { "POST", "/v1/programs", "{\"budjet\": 1}", {}, 400, "bad-request" },
        { "POST", "/v1/programs", "{\"parent\": 7}", {}, 400, "bad-request" },
        { "GET", "/", "", {}, 404, "unknown-path" },
        { "GET", "/v1/programsandmore", "", {}, 404, "unknown-path" },
        { "GET", "/v1/services/", "", {}, 404, "unknown-path" },
        { "GET", "/v1/services/none/x", "", {}, 404, "unknown-service" },
        { "POST", "/v1/services/lease-app/invoices", "{}", {}, 428, "non-repeatable-needs-program" },
    };
    Cluster cluster;
    for (const InvalidRequest& request : requests)
        checkProblem(cluster.call(0, request.method_, request.path_, request.body_, request.headers_),
            request.status_, request.kind_, "not-run",
            request.method_ + " " + request.path_ + " " + request.body_);
    for (const std::string key : { "", "wrong", "\xff\xfe" })
        checkProblem(callWithKey(cluster, key, "GET", "/v1/programs"), 401, "unauthenticated", "not-run");
    checkServesOthers(cluster);
}

void BadRequests::programOfAnotherWorkspaceIsInvisibleAndUnchanged()
{
    Cluster cluster;
    std::string program = cluster.createProgram(0);
    std::string other = "key-of-another-team";
    std::string body = R"({"model": "agent-llm", "messages": [{"role": "user", "content": "hi"}]})";
    auto answersFor = [&](const std::string& id) {
        std::vector<std::string> headers { "Fescue-Program: " + id, "Fescue-Call: 1" };
        std::vector<Answer> answers { callWithKey(cluster, other, "GET", "/v1/programs/" + id),
            callWithKey(cluster, other, "DELETE", "/v1/programs/" + id),
            callWithKey(cluster, other, "POST", chat, headers, body),
            callWithKey(cluster, other, "POST", "/v1/services/lease-app/invoices", headers, "{}"),
            callWithKey(cluster, other, "POST", "/v1/programs", {}, json { { "parent", id } }.dump()) };
        return answers;
    };
    auto real = answersFor(program);
    auto invented = answersFor(unknownId);
    for (std::size_t i = 0; i < real.size(); ++i) {
        checkProblem(real[i], 404, "unknown-program", i < 4 ? "outcome-unknown" : "not-run");
        CHECK_EQUAL(invented[i].http_.body_, real[i].http_.body_);
    }
    Answer list = callWithKey(cluster, other, "GET", "/v1/programs");
    CHECK(list.http_.body_.find(program) == std::string::npos);
    CHECK_EQUAL(0, cluster.executions(program, 1));
    CHECK_EQUAL(200, cluster.modelCall(0, program, 1, conversation({ "hello" })).status());
}

void BadRequests::callsOutOfOrderAndReusedNumbersAreRejected()
{
    Cluster cluster;
    std::string program = cluster.createProgram(0);
    checkProblem(cluster.serviceCall(0, program, 2, "/invoices", "{}"), 409, "call-out-of-order", "not-run");
    CHECK_EQUAL(200, cluster.serviceCall(0, program, 1, "/invoices", "{}").status());
    Answer reused = cluster.serviceCall(0, program, 1, "/invoices", "{\"amount\": 2}");
    checkProblem(reused, 422, "call-key-reused", "not-run");
    CHECK_EQUAL(1, cluster.executions(program, 1));
    CHECK_EQUAL(200, cluster.serviceCall(0, program, 2, "/invoices", "{}").status());
}

void BadRequests::excessiveNestingIsRejected()
{
    Cluster cluster;
    constexpr std::size_t depth = 2000000;
    std::string nested = std::string(depth, '[') + std::string(depth, ']');
    std::string program = cluster.createProgram(0);
    for (const std::string& body :
        { R"({"model": "agent-llm", "messages": [{"role": "user", "content": )" + nested + "}]}",
            R"({"model": "agent-llm", "messages": )" + nested + "}",
            R"({"model": "agent-llm", "messages": [], "extra": )" + nested + "}" })
        checkProblem(cluster.call(0, "POST", chat, body, { "Fescue-Program: " + program, "Fescue-Call: 1" }),
            400, "bad-request", "not-run");
    checkProblem(cluster.call(0, "POST", "/v1/programs", nested), 400, "bad-request", "not-run");
    checkServesOthers(cluster);
}

void BadRequests::oversizedBodiesAreRejectedAndOversizedHeadersCutOff()
{
    ClusterOptions options;
    options.gatewayFlags_ = { "--max_body_bytes=4096" };
    Cluster cluster(options);
    constexpr std::size_t slightlyTooLong = 5000;
    constexpr std::size_t muchTooLong = 20 * 1024 * 1024;
    std::string blank(slightlyTooLong, ' ');
    checkProblem(cluster.call(0, "POST", "/v1/programs", blank + "{}"), 413, "too-large", "not-run");

    int port = cluster.entries_[0].gateway_->port("http");
    std::string head = "POST /v1/programs HTTP/1.1\r\nHost: a\r\nContent-Length: "
        + std::to_string(muchTooLong) + "\r\n\r\n";
    RawConnection body(port);
    CHECK(!body.send(head + std::string(muchTooLong, ' ')) || body.readAll().empty());
    RawConnection header(port);
    header.send(
        "GET /v1/programs HTTP/1.1\r\nHost: a\r\nFescue-Program: " + std::string(40000, 'x') + "\r\n\r\n");
    CHECK(header.readAll().empty());
    checkServesOthers(cluster);
}
