// Guards against an answer that broke off and is continued by bytes of another one, for example by the error
// of the next target, or that ends as if it were complete.

#include "ProcessTarget.h"
#include "Suite.h"

#include <csignal>
#include <fmt/format.h>
#include <mutex>

using namespace fescue;
using namespace fescue::test;

namespace {

const std::string errorText = "no engine could serve this";
const std::string streamType = "Content-Type: text/event-stream\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string eventOne = "id: 1\ndata: one\n\n";
constexpr std::size_t heldBytes = 256 * 1024; ///< Of an answer before a VM begins to pass it on.

void sleepFor(Milliseconds time) { std::this_thread::sleep_for(time); }

// Targets of which the first that gets a request breaks its answer off, and any later one answers otherwise.
class Sequence {
public:
    using Answer = std::function<TargetAction(const HttpHead&)>;

    void set(Answer first, Answer later)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        first_ = std::move(first);
        later_ = std::move(later);
        runs_ = 0;
    }

    ScriptedTarget::Script script()
    {
        return [this](const HttpHead& request, const std::string&) {
            std::lock_guard<std::mutex> lock(mutex_);
            return runs_++ == 0 ? first_(request) : later_(request);
        };
    }

    int runs() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return runs_;
    }

private:
    mutable std::mutex mutex_;
    Answer first_;
    Answer later_;
    int runs_ = 0;
};

enum class Break { Close, Reset };

// The answer of a target that breaks off after `bytes`.
Sequence::Answer breaksOff(const std::string& framing, const std::string& bytes, Break how, int status = 200)
{
    return [=](const HttpHead& request) {
        TargetAction action { stampedHead(request, framing, status) + bytes };
        action.closesConnection_ = how == Break::Close;
        action.resetsConnection_ = how != Break::Close;
        return action;
    };
}

Sequence::Answer answers(int status, const std::string& body, const std::string& extra = "")
{
    return [=](const HttpHead& request) {
        return TargetAction {
            stampedHead(request, fmt::format("{}Content-Length: {}\r\n", extra, body.size()), status) + body
        };
    };
}

const std::string notExecuted = "Fescuewinch-Not-Executed: 1\r\n";

// What a caller received.
struct Received {
    std::string bytes_;
    bool wasReset_ = false;

    bool contains(const std::string& part) const { return bytes_.find(part) != std::string::npos; }
    std::string body() const
    {
        std::size_t head = bytes_.find("\r\n\r\n");
        return head == std::string::npos ? std::string() : bytes_.substr(head + 4);
    }
    bool isComplete() const
    {
        std::size_t length = bytes_.find("Content-Length: ");
        if (length != std::string::npos && length < bytes_.find("\r\n\r\n"))
            return body().size() == std::stoul(bytes_.substr(length + 16));
        return contains("\r\n0\r\n\r\n");
    }
};

std::string summary(const Received& received)
{
    return fmt::format("{} bytes, {}: {}", received.bytes_.size(), received.wasReset_ ? "reset" : "closed",
        received.bytes_.substr(0, 400));
}

// Checks that the beginning of a stream was passed on, and nothing but it.
void checkBrokenOff(const Received& received, int status = 200)
{
    CPPUNIT_ASSERT_MESSAGE(summary(received), statusOf(received.bytes_) == status);
    CPPUNIT_ASSERT_MESSAGE(summary(received), !received.isComplete() && received.wasReset_);
    CPPUNIT_ASSERT_MESSAGE(summary(received), received.body().find("HTTP/1.1") == std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(summary(received), !received.contains(errorText));
}

void checkComplete(const Received& received, int status, const std::string& body)
{
    CPPUNIT_ASSERT_MESSAGE(summary(received), statusOf(received.bytes_) == status);
    CPPUNIT_ASSERT_MESSAGE(summary(received), received.isComplete());
    CPPUNIT_ASSERT_MESSAGE(summary(received), received.body() == body);
}

// The same for an answer that is passed on only beyond `heldBytes`: a reset by the relaying VM can overtake
// these bytes. The other VM has passed nothing on then, and answers for itself.
void checkLargeBrokenOff(const Received& received, int status, bool relays)
{
    constexpr int badGateway = 502;
    if (!relays || statusOf(received.bytes_) != badGateway)
        return checkBrokenOff(received, status);
    CPPUNIT_ASSERT_MESSAGE(summary(received), received.isComplete() && received.body().front() == '{');
    CPPUNIT_ASSERT_MESSAGE(summary(received), !received.contains("aaa") && !received.contains("eee"));
}

// VMs whose routes allow several attempts; the first one reaches targets only through the second, if it
// relays.
struct Setup {
    Sequence sequence_;
    EntryVmHarness vms_;
    int requests_ = 0;

    explicit Setup(bool relays)
        : vms_({ sequence_.script(), sequence_.script(), sequence_.script() }, true, relays ? 2 : 1)
    {
        vms_.runOnStore([](standin::PlatformStore& store) {
            std::string config = store.newest("keyed.op").at("config");
            const std::string one = "\"max-attempts\":1";
            for (std::size_t at = config.find(one); at != std::string::npos; at = config.find(one))
                config.replace(at, one.size(), "\"max-attempts\":3");
            config.replace(config.find("\"version\":5"), 11, "\"version\":6");
            store.put("keyed.op", "config", config);
        });
        sleepFor(Milliseconds { 300 });
        if (!relays)
            return;
        vms_.setLinks(0, EntryVmHarness::LinkFault::Refused);
        sleepFor(Milliseconds { 1000 });
    }

    // Sends a request with a content of its own; `request` is the method and the beginning of the path.
    Received send(const std::string& request, const std::string& headers = "")
    {
        // A VM does not ask another one for a while after an answer through it has broken off.
        Received received = sendOnce(request, headers);
        for (int i = 0; i < 40 && received.contains("neither this VM nor another"); ++i) {
            sleepFor(Milliseconds { 100 });
            received = sendOnce(request, headers);
        }
        return received;
    }

    Received sendOnce(const std::string& request, const std::string& headers)
    {
        ++requests_;
        RawConnection caller(vms_.port());
        caller.send(fmt::format("{}{} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
                                "Fescuewinch-Request-Id: {}\r\nFescuewinch-Deadline-Ms: 2500\r\n{}"
                                "Content-Length: 6\r\n\r\nprompt",
            request, requests_, lastId(), headers));
        std::string bytes = caller.readAll();
        return { bytes, caller.wasReset() };
    }

    // A success ends the backoff of a relaying VM.
    void serveOther()
    {
        sequence_.set(answers(200, "fine"), answers(200, "fine"));
        checkComplete(send("GET /read/"), 200, "fine");
    }

    std::string lastId() const { return fmt::format("r{}", requests_); }
};

std::vector<Sequence::Answer> errors()
{
    return { answers(500, errorText), answers(503, errorText), answers(503, errorText, notExecuted),
        breaksOff("Content-Length: 400\r\n", errorText, Break::Close, 500),
        answers(200, eventOne + "id: 9\ndata: " + errorText + "\n\n", streamType) };
}

// Streams that break off after the first event and a half, as `framing` and bytes.
std::vector<std::pair<std::string, std::string>> brokenStreams()
{
    const std::string torn = "id: 2\ndata: tw";
    return { { streamType, eventOne + torn }, { streamType + "Content-Length: 500\r\n", eventOne + torn },
        { streamType + "Content-Length: 500\r\n", eventOne },
        { streamType + chunked, toChunk(eventOne) + toChunk(torn) },
        { streamType + chunked, toChunk(eventOne) },
        { streamType + chunked, toChunk(eventOne) + "12\r\nid: 2" } };
}

void checkBrokenStreams(const std::string& path, const std::string& headers, bool relays)
{
    Setup setup(relays);
    std::size_t number = 0;
    for (const auto& [framing, bytes] : brokenStreams()) {
        for (Break how : { Break::Close, Break::Reset }) {
            // Relaying takes longer, since the VM waits after each break.
            bool isSkipped
                = relays && (how == Break::Close) == (framing.find("chunked") != std::string::npos);
            if (isSkipped)
                continue;
            setup.sequence_.set(breaksOff(framing, bytes, how), errors()[number % errors().size()]);
            ++number;
            checkBrokenOff(setup.send("POST " + path, headers));
            CHECK_EQUAL(1, setup.sequence_.runs());
            setup.serveOther();
        }
    }
    // A VM that reads the malformed chunk with the head has passed nothing on, and asks the next target.
    setup.sequence_.set(
        breaksOff(streamType + chunked, toChunk(eventOne) + "HTTP/1.1 500 Error\r\n\r\n", Break::Close),
        answers(500, errorText));
    Received answer = setup.send("POST " + path, headers);
    if (statusOf(answer.bytes_) == 200)
        checkBrokenOff(answer);
    else
        checkComplete(answer, 500, errorText);
}

// A caller of a stream that is under way.
struct StreamCaller {
    RawConnection connection_;
    Received received_;

    StreamCaller(const EntryVmHarness& vms, const std::string& path, const std::string& headers = "")
        : connection_(vms.port())
    {
        connection_.send("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
            + "Fescuewinch-Request-Id: r1\r\nFescuewinch-Deadline-Ms: 1500\r\n" + headers
            + "Content-Length: 6\r\n\r\nprompt");
    }

    void readUntil(const std::string& mark) { received_.bytes_ += connection_.readUntil(mark); }
    void readToEnd()
    {
        received_.bytes_ += connection_.readAll();
        received_.wasReset_ = connection_.wasReset();
    }
};

} // namespace

class SplicedErrors : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SplicedErrors);
    CPPUNIT_TEST(brokenStreamIsFollowedByNothing);
    CPPUNIT_TEST(brokenStreamThatAVmRelaysIsFollowedByNothing);
    CPPUNIT_TEST(brokenKeptTurnIsFollowedByNothingAndIsNotKept);
    CPPUNIT_TEST(streamOfARelayingVmThatEndsIsBrokenOff);
    CPPUNIT_TEST(streamThatIsTakenUpAgainGetsOnlyTheErrorOfItsTarget);
    CPPUNIT_TEST(largeErrorOnAStreamingRouteKeepsItsStatusAndIsNotSentAgain);
    CPPUNIT_TEST(smallErrorThatBreaksOffIsReplacedAsAWhole);
    CPPUNIT_TEST(largeAnswerThatBreaksOffIsFollowedByNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void brokenStreamIsFollowedByNothing() { checkBrokenStreams("/turn/", "", false); }

    void brokenStreamThatAVmRelaysIsFollowedByNothing() { checkBrokenStreams("/turn/", "", true); }

    void brokenKeptTurnIsFollowedByNothingAndIsNotKept()
    {
        for (bool relays : { false, true }) {
            Setup setup(relays);
            for (const char* request : { "POST /kept/", "POST /again/" }) {
                setup.sequence_.set(breaksOff(streamType + chunked, toChunk(eventOne), Break::Reset),
                    answers(500, errorText));
                checkBrokenOff(setup.send(request, programHeaders("p1", "90000")));
                CHECK_EQUAL(1, setup.sequence_.runs());
                std::string previous = "Fescuewinch-Previous-Turn: " + setup.lastId() + "\r\n";
                Received next = setup.send(request, programHeaders("p1", "90000") + previous);
                CPPUNIT_ASSERT_MESSAGE(summary(next), statusOf(next.bytes_) == 404);
                CHECK_EQUAL(1, setup.sequence_.runs());
            }
        }
    }

    void streamOfARelayingVmThatEndsIsBrokenOff()
    {
        EntryVmHarness vms({}, true, 2);
        ProcessTarget target(vms, "p0", { "--gap_ms=100", "--events=40" });
        vms.setLinks(0, EntryVmHarness::LinkFault::Refused);
        target.announce();
        sleepFor(Milliseconds { 1200 });
        for (const char* path : { "/turn/chunks", "/turn/none", "/kept/length" }) {
            for (bool kills : { false, true }) {
                StreamCaller caller(vms, path);
                caller.readUntil("data: 3 of 40");
                if (kills)
                    vms.process(1).signalAndWait(SIGKILL);
                else
                    vms.process(1).pause();
                caller.readToEnd();
                checkBrokenOff(caller.received_);
                vms.restartVm(1);
                sleepFor(Milliseconds { 1200 });
            }
        }
    }

    void streamThatIsTakenUpAgainGetsOnlyTheErrorOfItsTarget()
    {
        for (bool relays : { false, true }) {
            Setup setup(relays);
            setup.sequence_.set(
                breaksOff(streamType + chunked, toChunk(eventOne), Break::Reset), answers(500, errorText));
            checkBrokenOff(setup.send("POST /turn/"));
            std::string takesUp = "Resumes: " + setup.lastId() + "\r\nLast-Event-Id: 1\r\n";
            for (int status : { 500, 503 }) {
                setup.sequence_.set(answers(status, errorText), answers(200, eventOne, streamType));
                checkComplete(setup.send("POST /turn/", takesUp), status, errorText);
                CHECK_EQUAL(1, setup.sequence_.runs());
            }
            setup.sequence_.set(
                answers(503, errorText, notExecuted), answers(200, "id: 2\ndata: two\n\n", streamType));
            Received answer = setup.send("POST /turn/", takesUp);
            CPPUNIT_ASSERT_MESSAGE(summary(answer), statusOf(answer.bytes_) == 200 && answer.isComplete());
            CHECK(answer.contains("data: two") && !answer.contains(errorText));
            CHECK_EQUAL(2, setup.sequence_.runs());
        }
    }

    void largeErrorOnAStreamingRouteKeepsItsStatusAndIsNotSentAgain()
    {
        std::string large(heldBytes + 50000, 'e');
        std::string length = fmt::format("Content-Length: {}\r\n", large.size() + 1000);
        for (bool relays : { false, true }) {
            Setup setup(relays);
            for (int status : { 500, 429 }) {
                setup.sequence_.set(answers(status, large), answers(200, eventOne, streamType));
                Received whole = setup.send("POST /turn/");
                CHECK_EQUAL(status, statusOf(whole.bytes_));
                CHECK(whole.isComplete() && !whole.contains("data:"));
                CHECK_EQUAL(1, setup.sequence_.runs());
                setup.sequence_.set(
                    breaksOff(length, large, Break::Close, status), answers(200, eventOne, streamType));
                Received part = setup.send("POST /turn/");
                checkLargeBrokenOff(part, status, relays);
                CHECK(!part.contains("data:"));
                CHECK_EQUAL(1, setup.sequence_.runs());
            }
        }
    }

    void smallErrorThatBreaksOffIsReplacedAsAWhole()
    {
        std::string part(heldBytes - 50000, 'e');
        std::string length = fmt::format("Content-Length: {}\r\n", heldBytes);
        for (bool relays : { false, true }) {
            Setup setup(relays);
            for (const char* request : { "GET /read/", "POST /turn/" }) {
                setup.sequence_.set(breaksOff(length, part, Break::Reset, 500), answers(500, errorText));
                checkComplete(setup.send(request), 500, errorText);
                CHECK_EQUAL(2, setup.sequence_.runs());
            }
            setup.sequence_.set(breaksOff(length, part, Break::Reset, 500), answers(500, errorText));
            Received answer = setup.send("POST /call/");
            CHECK_EQUAL(502, statusOf(answer.bytes_));
            CHECK(answer.isComplete() && !answer.contains("eee"));
            CHECK_EQUAL(1, setup.sequence_.runs());
        }
    }

    void largeAnswerThatBreaksOffIsFollowedByNothing()
    {
        std::string large(heldBytes + 50000, 'a');
        std::vector<std::pair<std::string, std::string>> broken {
            { fmt::format("Content-Length: {}\r\n", large.size() + 1000), large }, { chunked, toChunk(large) }
        };
        for (bool relays : { false, true }) {
            Setup setup(relays);
            for (const auto& [framing, bytes] : broken) {
                setup.sequence_.set(breaksOff(framing, bytes, Break::Close), answers(200, "second"));
                Received answer = setup.send("GET /read/");
                checkLargeBrokenOff(answer, 200, relays);
                CHECK(!answer.contains("second"));
                CHECK_EQUAL(1, setup.sequence_.runs());
            }
        }
    }
};

REGISTER_SUITE(SplicedErrors);
