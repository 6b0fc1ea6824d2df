// Guards against JSON of an engine that is nested so deep that handling it overflows the stack.

#include "ChatStream.h"
#include "Suite.h"

using namespace fescue;

namespace {

std::string nested()
{
    constexpr int depth = 200000; // More levels than the stack of a thread holds.
    std::string text = "1";
    std::string opening;
    for (int i = 0; i < depth; ++i) {
        opening += "{\"a\":";
        text += "}";
    }
    return opening + text;
}

} // namespace

class NestedJson : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(NestedJson);
    CPPUNIT_TEST(deepEventsOfAStreamAreDropped);
    CPPUNIT_TEST(deepCompletionIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void deepEventsOfAStreamAreDropped()
    {
        const std::string choices = R"("choices":[{"delta":{"content":"x"}}])";
        ChatStream stream;
        CHECK_EQUAL(
            std::size_t { 0 }, stream.feed("data: {\"usage\":" + nested() + "," + choices + "}\n\n").size());
        CHECK_EQUAL(std::size_t { 1 }, stream.feed("data: {\"usage\":{\"a\":1}," + choices + "}\n\n").size());
        CHECK(stream.completion().find(R"("content":"x")") != std::string::npos);
    }

    void deepCompletionIsRejected()
    {
        CHECK(toEventStream("{\"choices\":[{\"message\":{}}],\"x\":" + nested() + "}").empty());
        CHECK(!toEventStream(R"({"choices":[{"message":{}}]})").empty());
    }
};

REGISTER_SUITE(NestedJson);
