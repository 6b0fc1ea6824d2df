// Which requests have the same content.

#include "RequestDigest.h"
#include "Suite.h"

using namespace fescue;

namespace {

HttpHead headOf(const std::string& method, const std::string& target, const std::string& attempt)
{
    HttpHead head;
    head.method_ = method;
    head.target_ = target;
    head.headers_ = { { "Host", "h.example" }, { "Fescuewinch-Request-Id", attempt },
        { "Fescuewinch-Deadline-Ms", "9" + attempt } };
    return head;
}

} // namespace

class RequestDigests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestDigests);
    CPPUNIT_TEST(attemptsOfOneRequestHaveTheSameDigest);
    CPPUNIT_TEST(requestsThatDifferInOnePartHaveDifferentDigests);
    CPPUNIT_TEST(digestsAreReadBackFromText);
    CPPUNIT_TEST_SUITE_END();

public:
    void attemptsOfOneRequestHaveTheSameDigest()
    {
        for (const char* body : { "", "pay" })
            CHECK(digestOf(headOf("GET", "/a", "1"), body) == digestOf(headOf("GET", "/a", "2"), body));
    }

    void requestsThatDifferInOnePartHaveDifferentDigests()
    {
        ContentDigest digest = digestOf(headOf("GET", "/a?b=1", "1"), "");
        CHECK(digest.value_ != 0);
        CHECK(digest != digestOf(headOf("PUT", "/a?b=1", "1"), ""));
        CHECK(digest != digestOf(headOf("GET", "/a?b=2", "1"), ""));
        CHECK(digest != digestOf(headOf("GET", "/a?b=1", "1"), "body"));
        CHECK(digest != digestOf(headOf("GET", "/a?b=", "1"), "1"));
        HttpHead otherHost = headOf("GET", "/a?b=1", "1");
        otherHost.headers_[0].value_ = "other.example";
        CHECK(digest != digestOf(otherHost, ""));
    }

    void digestsAreReadBackFromText()
    {
        ContentDigest digest { 0x12ab };
        CHECK(parseDigest(textOf(digest)) == digest);
        for (const char* text : { "", "12ab", "00000000000012ax", "0000000000000000", "000000000000012ab" })
            CHECK(!parseDigest(text));
    }
};

REGISTER_SUITE(RequestDigests);
