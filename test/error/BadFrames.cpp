// Malformed messages and unexpected frames: the receiver closes the link or ignores them, and other links are
// not affected.

#include "Cluster.h"
#include "ConfigFold.h"
#include "Digest.h"
#include "Frame.h"
#include "FrameLink.h"
#include "PeerStreams.h"
#include "PeerTurns.h"
#include "Suite.h"

#include <atomic>

using namespace fescue;
using namespace fescue::test;

class BadFrames : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BadFrames);
    CPPUNIT_TEST(malformedFramesAreRejected);
    CPPUNIT_TEST(schedulerClosesTheLinkAndKeepsServingOthers);
    CPPUNIT_TEST(gatewayRejectsMisdirectedAndDuplicatedFrames);
    CPPUNIT_TEST_SUITE_END();

public:
    void malformedFramesAreRejected();
    void schedulerClosesTheLinkAndKeepsServingOthers();
    void gatewayRejectsMisdirectedAndDuplicatedFrames();
};

REGISTER_SUITE(BadFrames);

namespace {

using nlohmann::json;

std::vector<std::string> badMessages()
{
    auto cbor = [](const json& document) {
        std::string bytes;
        json::to_cbor(document, bytes);
        return bytes;
    };
    std::string good = toCbor(PeerFrame { { "vm" }, { "zone" } });
    return { "", "\xff", std::string("\x9f", 1), std::string(100000, '\x81'), good + "x",
        good.substr(0, good.size() - 1), cbor({ { "t", "no-such-type" } }), cbor({ { "t", 7 } }),
        cbor(json::array()), cbor({ { "t", "request" }, { "id", "seven" } }),
        cbor({ { "t", "chunk" }, { "id", 1 }, { "index", 0 }, { "data", "text" } }),
        cbor({ { "t", "chunk" }, { "id", -1 }, { "index", 0 }, { "data", json::binary({}) } }),
        cbor({ { "t", "end" }, { "id", 1.5 }, { "chunks", 0 } }),
        cbor({ { "t", "watch" }, { "have", -1 } }) };
}

} // namespace

void BadFrames::malformedFramesAreRejected()
{
    int index = 0;
    for (const std::string& message : badMessages())
        CPPUNIT_ASSERT_MESSAGE("message " + std::to_string(index++), !parseFrame(message).has_value());
    constexpr std::size_t deep = 4 * 1024 * 1024; // More levels than the stack of a thread holds.
    for (const char* level : { "\x81", "\x9f", "\xa1\x60", "\xbf\x60" }) {
        std::string nested;
        while (nested.size() < deep)
            nested += level;
        CHECK(!parseFrame(nested).has_value());
        CHECK(!parseTurnRequest(nested) && !parseStreams(nested));
    }
    CHECK(parseFrame(toCbor(PeerFrame { { "vm" }, { "zone" } })).has_value());
    CHECK(parseFrame(toCbor(WatchFrame { { 3 } })).has_value());
}

void BadFrames::schedulerClosesTheLinkAndKeepsServingOthers()
{
    Cluster cluster;
    std::string address = "127.0.0.1:" + std::to_string(cluster.entries_[0].scheduler_->port("frames"));
    std::string program = cluster.createProgram(0);
    std::vector<Frame> unexpected { HeadFrame { 1, 200 }, ChunkFrame { 1, 0, "x" }, EndFrame { 1, 1 },
        MovedFrame { 1, { "vm" } }, ViewFrame {}, PeerFrame { { "vm" }, { "another-zone" } } };
    RequestFrame large;
    large.body_ = std::string(17 * 1024 * 1024, 'x');
    unexpected.emplace_back(large);
    for (const Frame& frame : unexpected) {
        std::atomic<bool> isClosed { false };
        FrameDialer dialer(1, {},
            { [&frame](const FrameLinkPtr& link) { link->send(frame); },
                [](const FrameLinkPtr&, const Frame&) {},
                [&isClosed](const FrameLinkPtr&) { isClosed = true; } });
        CHECK(dialer.dial(address) != nullptr);
        waitUntil("the link is closed", [&isClosed] { return isClosed.load(); });
    }
    CHECK_EQUAL(200, cluster.serviceCall(0, program, 1, "/invoices", "{}").status());
    CHECK_EQUAL(1, cluster.executions(program, 1));
}

void BadFrames::gatewayRejectsMisdirectedAndDuplicatedFrames()
{
    // A fake scheduler that sends the frames of each response mixed with frames of other requests.
    Config config;
    applyPublication(config, { 1 },
        R"({"sections": {"workspaces/lease": {"key_sha256": [")" + sha256Hex(callerKey)
            + R"("]}, "services/s": {}}})");
    std::atomic<int> mode { 0 };
    auto answer = [&](const FrameLinkPtr& link, const Frame& frame) {
        if (std::holds_alternative<WatchFrame>(frame)) {
            link->send(ViewFrame { {}, toJson(config).dump() });
            return;
        }
        const auto& request = std::get<RequestFrame>(frame);
        link->send(ChunkFrame { request.id_ + 1000, 0, "another caller's" });
        link->send(EndFrame { request.id_ + 1000, 1 });
        link->send(HeadFrame { request.id_, 200, "text/plain", {} });
        link->send(ChunkFrame { request.id_, 0, "own" });
        if (mode == 1)
            link->send(ChunkFrame { request.id_, 0, "own" });
        link->send(EndFrame { request.id_, mode == 2 ? 2U : 1U });
    };
    FrameServer server(
        "127.0.0.1", 0, 1, {}, { [](const FrameLinkPtr&) {}, answer, [](const FrameLinkPtr&) {} });
    Process gateway("fescue-gateway",
        { "--vm=v", "--zone=z", "--events_file=/dev/null",
            "--scheduler=127.0.0.1:" + std::to_string(server.port()) },
        1);
    HttpClient client;
    std::string url = "http://127.0.0.1:" + std::to_string(gateway.port("http"));
    waitUntil("the gateway is ready", [&] {
        return client.perform({ "GET", url + "/readyz" }).status_ == 200;
    });
    for (int wrong : { 0, 1, 2, 0 }) {
        mode = wrong;
        HttpResult result = client.perform({ "POST", url + "/v1/services/s/x",
            { std::string("Authorization: Bearer ") + callerKey }, "{}" });
        if (wrong == 0) {
            CHECK_EQUAL(std::string("own"), result.body_);
            continue;
        }
        CHECK(result.status_ >= 500);
        CHECK(result.body_.find(R"("run_state":"outcome-unknown")") != std::string::npos);
    }
}
