#include "EventCounter.h"
#include "Suite.h"

#include <string>

using namespace fescue;

class EventCounting : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EventCounting);
    CPPUNIT_TEST(blankLineEndsAnEventWhateverEndsItsLines);
    CPPUNIT_TEST(streamThatStopsWithinAnEventIsInside);
    CPPUNIT_TEST_SUITE_END();

    // Feeds the bytes one by one, so that each line end falls between two reads.
    static EventCounter counterOf(const std::string& bytes)
    {
        EventCounter counter;
        for (char byte : bytes)
            counter.feed({ &byte, 1 });
        return counter;
    }

public:
    void blankLineEndsAnEventWhateverEndsItsLines()
    {
        for (const char* stream :
            { "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n",
                "id: 1\rdata: x\r\rid: 2\rdata: y\r\r", "\n\nid: 1\ndata: x\n\n\n\nid: 2\ndata: y\n\n" }) {
            EventCounter counter = counterOf(stream);
            CHECK_EQUAL(std::int64_t { 2 }, counter.events_);
            CHECK_EQUAL(std::int64_t { 2 }, counter.startedEvents());
            CHECK(!counter.isInEvent_);
        }
    }

    void streamThatStopsWithinAnEventIsInside()
    {
        for (const char* stream : { "i", "id: 1", "id: 1\n", "id: 1\r\n", "id: 1\r", "id: 1\ndata: x\n" }) {
            EventCounter counter = counterOf(stream);
            CHECK(counter.isInEvent_);
            CHECK_EQUAL(std::int64_t { 0 }, counter.events_);
            CHECK_EQUAL(std::int64_t { 1 }, counter.startedEvents());
        }
    }
};

REGISTER_SUITE(EventCounting);
