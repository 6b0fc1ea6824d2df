#include "Documents.h"
#include "Headers.h"
#include "NumberBounds.h"
#include "SettingsDocument.h"
#include "Suite.h"

using namespace fescue;

namespace {

const std::string settings = R"(
node-name: "frontend-a-1"
ip: "10.1.0.38"
zone: "gr-central-a"
listen:
  frontend: "10.1.0.38:8149"
  ready: "10.1.0.38:8141"
port-range:
  - 7380
  - 7395
limits:
  cpu-quota: 0.5
  memory-mb: 120
heartbeat-ms: 1200
something-new: { a: [ 1, 2 ] }
bounds:
  drain-ms: 2000
  grace-s: 8
  config-apply-ms: 2000
  settle-ms: 1000
platform:
  address: "10.200.1.7:8142"
  parts: 12
)";

std::string replaced(std::string text, const std::string& part, const std::string& replacement = "")
{
    std::size_t at = text.find(part);
    CHECK(at != std::string::npos);
    return text.replace(at, part.size(), replacement);
}

const std::string config = R"({"version":7,"news":[1],"routes":[
 {"name":"turns","host":"Ficu95.example","path-prefix":"/pufi/","type":"streaming","timeout-ms":4000,
  "target-latency-ms":250,"priority":0,"service":"llm","max-attempts":1,"retained":false,"retention-s":60.0,
  "resumable":true},
 {"name":"calls","host":"ficu95.example","path-prefix":"/","type":"non_idempotent","timeout-ms":3000,
  "backends":[{"service":"llm","weight":90},{"service":"app","weight":10}]},
 {"name":"reads","host":"other.example","path-prefix":"/","type":"idempotent","service":"app"},
 {"name":"odd","host":"other.example","path-prefix":"/odd/","type":"never heard of","service":"app"}],
 "services":[{"name":"llm","engine":{"slots":12,"tokens-per-event":22}},{"name":"app"}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

} // namespace

class PlatformFormats : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformFormats);
    CPPUNIT_TEST(settingsAreDecoded);
    CPPUNIT_TEST(invalidSettingsNameTheFieldAndTheRemedy);
    CPPUNIT_TEST(numbersInSettingsMayBeWrittenInAnyWay);
    CPPUNIT_TEST(emptySettingsAreNotThere);
    CPPUNIT_TEST(limitsOfNoUseAreDefaulted);
    CPPUNIT_TEST(absentSettingsKeepWhatIsInForce);
    CPPUNIT_TEST(numbersOutOfRangeInSettingsAreNamed);
    CPPUNIT_TEST(configurationIsDecoded);
    CPPUNIT_TEST(malformedConfigurationIsRejected);
    CPPUNIT_TEST(configurationThatSaysTheSameInAnotherFormIsDecoded);
    CPPUNIT_TEST(fieldsOfTheConfigurationThatAreNullAreNotThere);
    CPPUNIT_TEST(configurationWhoseVersionIsNoWholeNumberIsRejected);
    CPPUNIT_TEST(malformedEntriesAreNotDecodedAsTargets);
    CPPUNIT_TEST(numbersOutOfRangeNameNoTarget);
    CPPUNIT_TEST(largeNumbersInHeadersAreClamped);
    CPPUNIT_TEST(largeNumbersInTheConfigurationAreClamped);
    CPPUNIT_TEST(callersCannotSetHeadersOfTheSystem);
    CPPUNIT_TEST(requestTagsAreDecoded);
    CPPUNIT_TEST(answerTagsAreDecoded);
    CPPUNIT_TEST(rateLimitIsADecimalNumber);
    CPPUNIT_TEST_SUITE_END();

public:
    void settingsAreDecoded()
    {
        auto read = platform::decodeSettings(settings);
        CHECK(read.has_value());
        CHECK(read->defaulted_.empty());
        const VmSettings& found = read->settings_;
        CHECK_EQUAL(std::string("frontend-a-1"), found.vm_.value_);
        CHECK_EQUAL(std::string("10.1.0.38:7380"), found.peerAddress_);
        CHECK_EQUAL(std::uint32_t { 12 }, found.store_.partitions_);
        CHECK(found.drainGrace_ == Milliseconds { 8000 });
    }

    void invalidSettingsNameTheFieldAndTheRemedy()
    {
        auto missing = platform::decodeSettings(replaced(settings, "zone: \"gr-central-a\"\n"));
        CHECK_EQUAL(std::string("zone"), missing.error().field_);
        auto mistyped = platform::decodeSettings(replaced(settings, "grace-s: 8", "grace-s: [ 8 ]"));
        CHECK_EQUAL(std::string("bounds.grace-s"), mistyped.error().field_);
        auto address = platform::decodeSettings(replaced(settings, "10.1.0.38:8141", "somewhere"));
        CHECK_EQUAL(std::string("listen.ready"), address.error().field_);
        CHECK(address.error().remedy_.find("10.1.0.38:8149") != std::string::npos);
        CHECK(!platform::decodeSettings("{ not yaml").has_value());
        CHECK(!platform::decodeSettings("").has_value());
    }

    // Guards against a start that ends over the form of a number.
    void numbersInSettingsMayBeWrittenInAnyWay()
    {
        std::string text = replaced(settings, "memory-mb: 120", "memory-mb: 120.9");
        text = replaced(text, "parts: 12", "parts: 12.0");
        text = replaced(text, "- 7380", "- 7380.0");
        text = replaced(text, "grace-s: 8", "grace-s: \"8.5\"");
        text = replaced(text, "heartbeat-ms: 1200", "heartbeat-ms: 1.2e3");
        auto read = platform::decodeSettings(text);
        CHECK(read && read->defaulted_.empty());
        const VmSettings& found = read->settings_;
        CHECK_EQUAL(std::int64_t { 120 }, found.memoryMb_);
        CHECK_EQUAL(std::uint32_t { 12 }, found.store_.partitions_);
        CHECK_EQUAL(std::string("10.1.0.38:7380"), found.peerAddress_);
        CHECK(found.drainGrace_ == Milliseconds { 8500 });
        CHECK(found.targetHeartbeat_ == Milliseconds { 1200 });
        auto other = platform::decodeSettings(
            replaced(replaced(settings, "memory-mb: 120", "memory-mb: 0404"), "parts: 12", "parts: 0xC"));
        CHECK(other.has_value());
        CHECK_EQUAL(std::int64_t { 260 }, other->settings_.memoryMb_);
        CHECK_EQUAL(std::uint32_t { 12 }, other->settings_.store_.partitions_);
    }

    // Guards against limits that are so small that they would count as not known, and bound nothing.
    void limitsOfNoUseAreDefaulted()
    {
        std::string text = replaced(settings, "memory-mb: 120", "memory-mb: 0.5\n  max-fds: 200");
        auto read = platform::decodeSettings(text);
        CHECK(read.has_value());
        CHECK((read->defaulted_ == std::vector<std::string> { "limits.memory-mb", "limits.max-fds" }));
        CHECK_EQUAL(VmSettings {}.memoryMb_, read->settings_.memoryMb_);
        CHECK_EQUAL(std::int64_t { 100 }, read->settings_.maxSockets_);
    }

    void absentSettingsKeepWhatIsInForce()
    {
        VmSettings inForce;
        inForce.drainGrace_ = Milliseconds { 3000 };
        auto read = platform::decodeSettings(replaced(settings, "  grace-s: 8\n"), inForce);
        CHECK(read.has_value());
        CHECK(read->settings_.drainGrace_ == Milliseconds { 3000 });
        CHECK((read->defaulted_ == std::vector<std::string> { "bounds.grace-s" }));
    }

    void emptySettingsAreNotThere()
    {
        std::string text = replaced(settings, "memory-mb: 120", "memory-mb: null");
        text = replaced(text, "drain-ms: 2000", "drain-ms:");
        text = replaced(text, "heartbeat-ms: 1200", "heartbeat-ms: ~");
        text = replaced(text, "config-apply-ms: 2000", "config-apply-ms: \"\"");
        auto read = platform::decodeSettings(text);
        CHECK(read.has_value());
        CHECK((read->defaulted_
            == std::vector<std::string> { "limits.memory-mb", "bounds.config-apply-ms", "bounds.drain-ms" }));
        VmSettings defaults;
        CHECK_EQUAL(defaults.memoryMb_, read->settings_.memoryMb_);
        CHECK(read->settings_.targetDrainTimeout_ == defaults.targetDrainTimeout_);
        CHECK(read->settings_.targetHeartbeat_ == defaults.targetHeartbeat_);
        auto zone = platform::decodeSettings(replaced(settings, "\"gr-central-a\"", "null"));
        CHECK_EQUAL(std::string("zone"), zone.error().field_);
    }

    void numbersOutOfRangeInSettingsAreNamed()
    {
        auto fieldOf = [](const std::string& part, const std::string& replacement) {
            auto read = platform::decodeSettings(replaced(settings, part, replacement));
            return read ? std::string("none") : read.error().field_;
        };
        CHECK_EQUAL(std::string("limits.memory-mb"), fieldOf("memory-mb: 120", "memory-mb: -1"));
        CHECK_EQUAL(std::string("limits.memory-mb"), fieldOf("memory-mb: 120", "memory-mb: .inf"));
        CHECK_EQUAL(std::string("limits.memory-mb"), fieldOf("memory-mb: 120", "memory-mb: .nan"));
        CHECK_EQUAL(std::string("limits.memory-mb"), fieldOf("memory-mb: 120", "memory-mb: much"));
        CHECK_EQUAL(std::string("bounds.grace-s"), fieldOf("grace-s: 8", "grace-s: -8"));
        CHECK_EQUAL(std::string("limits.memory-mb"), fieldOf("memory-mb: 120", "memory-mb: -0x10"));
        CHECK_EQUAL(std::string("platform.parts"), fieldOf("parts: 12", "parts: 0"));
        CHECK_EQUAL(std::string("platform.parts"), fieldOf("parts: 12", "parts: 1e12"));
        CHECK_EQUAL(std::string("platform.parts"), fieldOf("  parts: 12\n", ""));
        CHECK_EQUAL(std::string("port-range"), fieldOf("- 7380", "- 73800"));
    }

    void configurationIsDecoded()
    {
        auto read = platform::decodeConfig(config);
        CHECK(read.has_value());
        const Route* turn = findRoute(*read, "FICU95.example:80", "/pufi/x");
        if (!turn)
            CPPUNIT_FAIL("no route");
        CHECK(turn->isTurn_ && turn->isStream_);
        CHECK(turn->repeatability_ == Repeatability::Repeatable);
        CHECK(turn->programRetention_ == Milliseconds { 60000 });
        const Route* call = findRoute(*read, "ficu95.example", "/pufi");
        if (!call)
            CPPUNIT_FAIL("no route");
        CHECK_EQUAL(std::string("calls"), call->name_);
        CHECK(call->repeatability_ == Repeatability::AtMostOnce);
        CHECK(findRoute(*read, "other.example", "/odd/1")->repeatability_ == Repeatability::AtMostOnce);
        CHECK(findRoute(*read, "nobody.example", "/") == nullptr);
        CHECK(read->services_.at({ "llm" }).isModel_);
        int atApp = 0;
        constexpr int keys = 1000;
        for (std::uint64_t key = 0; key < keys; ++key)
            atApp += chooseService(*call, key * 7919).value_ == "app" ? 1 : 0;
        CHECK(atApp > 60 && atApp < 140);
    }

    void malformedConfigurationIsRejected()
    {
        CHECK(!platform::decodeConfig("not json").has_value());
        CHECK(!platform::decodeConfig("[]").has_value());
        CHECK_EQUAL(std::string("version"), platform::decodeConfig(R"({"routes":[]})").error().field_);
        CHECK_EQUAL(std::string("routes"), platform::decodeConfig(R"({"version":1})").error().field_);
        CHECK(!platform::decodeConfig(R"({"version":1,"routes":[{"name":"x"}]})").has_value());
    }

    // Guards against a VM that starts, reads a valid configuration as unreadable, and never serves a request.
    void configurationThatSaysTheSameInAnotherFormIsDecoded()
    {
        for (const char* version : { "7.0", "7e0", "0.7e1", "70e-1" }) {
            auto read = platform::decodeConfig(
                replaced(config, "\"version\":7", "\"version\":" + std::string(version)));
            CHECK(read.has_value());
            CHECK_EQUAL(std::uint64_t { 7 }, read->version_);
        }
        auto read = platform::decodeConfig(
            replaced(config, "\"max-attempts\":1", "\"max-attempts\":1.0,\"latency\":1e1"));
        CHECK_EQUAL(1U, read->routes_.front().maxAttempts_);
    }

    void fieldsOfTheConfigurationThatAreNullAreNotThere()
    {
        std::string text = replaced(config, "\"services\":[", "\"tenants\":null,\"services\":[");
        text = replaced(text, "\"retained\":false", "\"retained\":null,\"backends\":null");
        auto read = platform::decodeConfig(text);
        CHECK(read.has_value());
        CHECK(!read->hasWorkspaces_);
        CHECK(!read->routes_.front().isTurn_ && read->routes_.front().isStream_);
        CHECK_EQUAL(std::size_t { 1 }, read->routes_.front().services_.size());
        std::string tenants
            = R"("tenants":[{"name":"w1","api-keys":["k1"],"priority":null,"rate-per-s":null,)"
              R"("burst":null},{"name":"w2","api-keys":null}],"services":[)";
        read = platform::decodeConfig(replaced(config, "\"services\":[", tenants));
        CHECK(read.has_value());
        CHECK(read->hasWorkspaces_);
        CHECK_EQUAL(std::size_t { 2 }, read->workspaces_.size());
        CHECK_EQUAL(std::size_t { 1 }, read->workspaceOfKey_.size());
        for (const char* ambiguous : { "{}", "7", "\"k\"", "[null]", "[{\"name\":null,\"api-keys\":[]}]",
                 R"([{"name":"w","api-keys":[null]}])", R"([{"name":"w"}])" })
            CHECK(!platform::decodeConfig(replaced(config, "\"services\":[",
                                              "\"tenants\":" + std::string(ambiguous) + ",\"services\":["))
                       .has_value());
    }

    // A version that is not known exactly could put an older configuration in force.
    void configurationWhoseVersionIsNoWholeNumberIsRejected()
    {
        for (const char* version : { "7.5", "-7", "-7.0", "1e300", "null", "\"7\"", "[7]", "true" }) {
            auto read = platform::decodeConfig(
                replaced(config, "\"version\":7", "\"version\":" + std::string(version)));
            CHECK(!read.has_value());
            CHECK_EQUAL(std::string("version"), read.error().field_);
        }
    }

    // Their conversion is undefined, and a number of reports that no process makes hides all later reports.
    void numbersOutOfRangeNameNoTarget()
    {
        std::string good
            = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v","slots":6,"state":"ready","seq":4,"born":5})";
        CHECK(platform::decodeTarget("i-1", good).has_value());
        for (const char* field : { "\"slots\":6", "\"seq\":4", "\"born\":5" }) {
            std::string name(field, std::string_view(field).find(':') + 1);
            for (const char* value : { "1e300", "-1", "18446744073709551615",
                     "123456789012345678901234567890", "9007199254740993", "-1e300", "\"6\"", "null", "[6]" })
                CHECK(!platform::decodeTarget("i-1", replaced(good, field, name + value)).has_value());
        }
        for (const char* port : { ":0", ":65536", ":-1", ":99999999999", ":", ":80x" })
            CHECK(!platform::decodeTarget("i-1", replaced(good, ":80", port)).has_value());
        CHECK(!platform::decodeTarget("i-1", replaced(good, "\"v\"", "7")).has_value());
        CHECK(!platform::decodeTarget("i-1", replaced(good, "\"z\"", "7")).has_value());
        for (const char* id : { "i 1", "i-1\r\nX: y", "\xff", "i\x7f" })
            CHECK(!platform::decodeTarget(id, good).has_value());
    }

    void largeNumbersInHeadersAreClamped()
    {
        HttpHead head;
        for (const char* name :
            { "Fescuewinch-Deadline-Ms", "Fescuewinch-Program-Deadline-Ms", "Fescuewinch-Token-Budget" })
            head.headers_.push_back({ name, "9223372036854775807" });
        head.headers_.push_back({ "Fescuewinch-Token-Count", "9223372036854775807,9223372036854775807" });
        CallTags tags = platform::decodeCallTags(head);
        CHECK_EQUAL(maxForeignNumber, tags.programBudget_->value_);
        CHECK_EQUAL(maxForeignNumber, tags.promptTokens_.value_);
        CHECK(tags.deadline_->count() == maxForeignNumber);
        HttpHead answer;
        answer.headers_.push_back({ "Fescuewinch-Instance-Load", "4294967296,0,8" });
        CHECK(!platform::decodeAnswerTags(answer).load_);
    }

    void largeNumbersInTheConfigurationAreClamped()
    {
        auto config = platform::decodeConfig(
            R"({"version":1,"routes":[{"host":"h","path-prefix":"/","timeout-ms":1e300,"max-attempts":-1e300}],)"
            R"("services":[{"name":"s","engine":{"slots":1e300,"kv-capacity":-1e300}}]})");
        CHECK(config && config->routes_.front().timeout_ == Milliseconds { maxForeignNumber });
        CHECK_EQUAL(1U, config->routes_.front().maxAttempts_);
        CHECK(config->services_.at({ "s" }).slots_ > 0);
        CHECK(config->services_.at({ "s" }).kvCapacity_ == TokenCount { 0 });
    }

    void malformedEntriesAreNotDecodedAsTargets()
    {
        std::string good = R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready"})";
        CHECK(platform::decodeTarget("i-1", good).has_value());
        CHECK(platform::decodeTarget("i-1", replaced(good, "ready", "draining"))->isLeaving_);
        CHECK(!platform::decodeTarget("i-1", replaced(good, "ready", "dreaming")).has_value());
        CHECK(!platform::decodeTarget("i-1", replaced(good, "\"10.0.0.1:80\"", "17")).has_value());
        CHECK(!platform::decodeTarget("i-1", replaced(good, "10.0.0.1:80", "10.0.0.1")).has_value());
        CHECK(!platform::decodeTarget("i-1", "\xff\xfe").has_value());
        CHECK(!platform::decodeTarget("", good).has_value());
        std::string reported = replaced(good, "\"slots\":6", "\"slots\":6,\"seq\":4,\"born\":1790000000123");
        CHECK_EQUAL(std::uint64_t { 4 }, platform::decodeTarget("i-1", reported)->heartbeat_);
        CHECK(platform::decodeTarget("i-1", reported)->startedAt_ == Milliseconds { 1790000000123 });
        CHECK(platform::decodeTarget("i-1", good)->startedAt_ == Milliseconds { 0 });
    }

    void callersCannotSetHeadersOfTheSystem()
    {
        HttpHead request;
        request.method_ = "POST";
        request.target_ = "/a/b?c=d";
        request.headers_ = { { "Host", "h" }, { "Fescuewinch-Request-Id", "1" }, { "fescuewinch-hold", "x" },
            { "Kv-From", "x" }, { "Fescuewinch-Pin-Ms", "5" }, { "Fescuewinch-Kv-Backup", "x" },
            { "Fescuewinch-Deadline-Ms", "9000" }, { "Fescuewinch-Expect-Instance", "i-9" },
            { "Transfer-Encoding", "chunked" }, { "X-Own", "kept" } };
        HttpHead sent = platform::encodeTargetRequest(request, Milliseconds { 700 }, { "i-1" });
        CHECK_EQUAL(std::string("/a/b?c=d"), sent.target_);
        CHECK(!findHeader(sent, "Fescuewinch-Hold") && !findHeader(sent, "Kv-From"));
        CHECK(!findHeader(sent, "Fescuewinch-Pin-Ms") && !findHeader(sent, "Fescuewinch-Kv-Backup"));
        CHECK(!findHeader(sent, "Transfer-Encoding"));
        CHECK_EQUAL(std::size_t { 1 }, countHeader(sent, "Fescuewinch-Deadline-Ms"));
        CHECK_EQUAL(std::string("700"), *findHeader(sent, "Fescuewinch-Deadline-Ms"));
        CHECK_EQUAL(std::string("i-1"), *findHeader(sent, "Fescuewinch-Expect-Instance"));
        CHECK_EQUAL(std::string("kept"), *findHeader(sent, "X-Own"));
    }

    void requestTagsAreDecoded()
    {
        HttpHead request;
        request.headers_ = { { "fescuewinch-request-id", "9c41" }, { "Fescuewinch-Token-Count", "1840,561" },
            { "Fescuewinch-Prefix-Hash", "5c1e:800,91bd:410,odd" }, { "Fescuewinch-Token-Budget", "4488" },
            { "Fescuewinch-Deadline-Ms", "-5" } };
        CallTags tags = platform::decodeCallTags(request);
        CHECK_EQUAL(std::string("9c41"), tags.attempt_.value_);
        CHECK_EQUAL(std::int64_t { 561 }, tags.maxTokens_.value_);
        CHECK_EQUAL(std::size_t { 2 }, tags.prompt_.size());
        CHECK_EQUAL(std::int64_t { 4488 }, tags.programBudget_->value_);
        CHECK(!tags.deadline_.has_value());
        CHECK(tags.previousTurn_.empty() && tags.affinityKey_.empty());
        request.headers_ = { { "Fescuewinch-Previous-Turn", "7a02" },
            { "Cookie", "a=b; fescuewinch-affinity-key=3;  Fescuewinch-Affinity-Key=17; c=d" } };
        tags = platform::decodeCallTags(request);
        CHECK_EQUAL(std::string("7a02"), tags.previousTurn_.value_);
        CHECK_EQUAL(std::string("17"), tags.affinityKey_);
        for (const char* cookie :
            { "", ";", "=;=", "Fescuewinch-Affinity-Key", "xFescuewinch-Affinity-Key=1" }) {
            request.headers_ = { { "Cookie", cookie } };
            CHECK(platform::decodeCallTags(request).affinityKey_.empty());
        }
    }

    void answerTagsAreDecoded()
    {
        HttpHead answer;
        answer.status_ = 503;
        answer.headers_ = { { "Fescuewinch-Not-Executed", "1" }, { "Fescuewinch-Instance-Load", "3,0,8" } };
        AnswerTags tags = platform::decodeAnswerTags(answer);
        CHECK(tags.wasNotRun_ && !tags.isStamped_);
        CHECK_EQUAL(std::uint32_t { 8 }, tags.load_->slots_);
        CHECK(!tags.load_->timeFactor_);
        for (const char* load : { "3,1,8,130", "3,1,8,130,7" }) {
            answer.headers_ = { { "Fescuewinch-Instance-Load", load } };
            tags = platform::decodeAnswerTags(answer);
            CHECK_EQUAL(std::uint32_t { 1 }, tags.load_->waiting_);
            CHECK_EQUAL(1.3, tags.load_->timeFactor_.value());
        }
        for (const char* load : { "3,1,8,", "3,1,8,0", "3,1,8,-5", "3,1,8,x", "3,1,8,99999999999" }) {
            answer.headers_ = { { "Fescuewinch-Instance-Load", load } };
            tags = platform::decodeAnswerTags(answer);
            CHECK(tags.load_ && !tags.load_->timeFactor_);
        }
        answer.headers_ = { { "Fescuewinch-Instance-Load", "3,0" } };
        CHECK(!platform::decodeAnswerTags(answer).load_.has_value());
        CHECK(!platform::decodeAnswerTags(answer).wasNotRun_);
        answer.status_ = 421;
        CHECK(platform::decodeAnswerTags(answer).wasNotRun_);
    }

    void rateLimitIsADecimalNumber()
    {
        auto rateOf = [](const std::string& value) {
            HttpHead answer;
            answer.headers_ = { { "Server-Limit", value } };
            return platform::decodeAnswerTags(answer).rateLimit_;
        };
        CHECK(rateOf("6.5") == 6.5);
        CHECK(rateOf("12") == 12.0);
        CHECK(rateOf("0") == 0.0);
        for (const char* malformed : { "", "-1", "many", "6.5/s", "nan", "inf", "1e999" })
            CHECK(!rateOf(malformed).has_value());
        CHECK(!platform::decodeAnswerTags({}).rateLimit_.has_value());
    }
};

REGISTER_SUITE(PlatformFormats);
