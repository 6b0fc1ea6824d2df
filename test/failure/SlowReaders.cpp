// Guards against an answer that loses its last bytes when the VM stops while its caller is still reading.

#include "EntryVmHarness.h"
#include "Suite.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

class SlowReaders : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SlowReaders);
    CPPUNIT_TEST(wholeAnswerReachesACallerThatPauses);
    CPPUNIT_TEST(wholeAnswerReachesASlowReaderAfterSigterm);
    CPPUNIT_TEST(answerThatIsNotReadInTheGracePeriodIsWholeOrVisiblyBroken);
    CPPUNIT_TEST_SUITE_END();

    // More than the sockets' buffers hold, and less than the VM holds of an answer before it waits for its
    // reader.
    static constexpr std::size_t bodyBytes = 240 << 10;

    static ScriptedTarget::Script largeAnswer()
    {
        return [](const HttpHead& request, const std::string&) {
            return TargetAction { stampedResponse(request, std::string(bodyBytes, 'b')) };
        };
    }

    // Reads an answer after a pause, with SIGTERM at its start if `stops`; the caller's socket buffers little
    // until then.
    static std::string readAfter(std::chrono::milliseconds delay, bool keepsAlive, bool stops)
    {
        constexpr int receiveBuffer = 4096;
        EntryVmHarness vm({ largeAnswer() });
        RawConnection caller(vm.port(), receiveBuffer);
        caller.send(fmt::format(
            "GET /read/1 HTTP/1.1\r\nHost: h.example\r\nConnection: {}\r\nFescuewinch-Request-Id: r1\r\n"
            "Fescuewinch-Deadline-Ms: 2000\r\n\r\n",
            keepsAlive ? "keep-alive" : "close"));
        std::string answer = caller.readUntil("\r\n\r\n");
        if (stops)
            vm.process().signal(SIGTERM);
        std::this_thread::sleep_for(delay);
        if (stops || !keepsAlive)
            return answer + caller.readAll();
        while (bodyBytesOf(answer) < static_cast<std::ptrdiff_t>(bodyBytes)) {
            std::string part = caller.readUntil("b");
            if (part.empty())
                break;
            answer += part;
        }
        return answer;
    }

    static std::ptrdiff_t bodyBytesOf(const std::string& answer)
    {
        return std::count(answer.begin(), answer.end(), 'b');
    }

    static bool looksWhole(const std::string& answer)
    {
        const std::string lastChunk = "\r\n0\r\n\r\n";
        bool isChunked = answer.find("chunked\r\n") != std::string::npos;
        return isChunked ? answer.size() > lastChunk.size()
                && answer.compare(answer.size() - lastChunk.size(), lastChunk.size(), lastChunk) == 0
                         : bodyBytesOf(answer) >= static_cast<std::ptrdiff_t>(bodyBytes);
    }

public:
    void wholeAnswerReachesACallerThatPauses()
    {
        for (bool keepsAlive : { false, true })
            CHECK(looksWhole(readAfter(std::chrono::milliseconds(1500), keepsAlive, false)));
    }

    // Past the time after which an idle VM ends, and within the grace period of six seconds.
    void wholeAnswerReachesASlowReaderAfterSigterm()
    {
        for (bool keepsAlive : { false, true }) {
            std::string answer = readAfter(std::chrono::milliseconds(3800), keepsAlive, true);
            CHECK(looksWhole(answer));
            CHECK(bodyBytesOf(answer) >= static_cast<std::ptrdiff_t>(bodyBytes));
        }
    }

    void answerThatIsNotReadInTheGracePeriodIsWholeOrVisiblyBroken()
    {
        std::string answer = readAfter(std::chrono::milliseconds(7000), false, true);
        CHECK(bodyBytesOf(answer) == static_cast<std::ptrdiff_t>(bodyBytes) || !looksWhole(answer));
    }
};

REGISTER_SUITE(SlowReaders);
