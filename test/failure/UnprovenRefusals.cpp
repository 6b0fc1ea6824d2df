// Guards against statements about requests and programs that do not hold: a refusal of a target that does not
// say whether the request has run, and claims of programs whose ids do not fit into the store's keys.

#include "EntryVmHarness.h"
#include "Suite.h"

#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

class UnprovenRefusals : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(UnprovenRefusals);
    CPPUNIT_TEST(refusalThatDoesNotSayNotRunIsNotPassedOn);
    CPPUNIT_TEST(claimsOfProgramsCountWhateverTheirIds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Callers take these statuses for "has not run, and never will".
    void refusalThatDoesNotSayNotRunIsNotPassedOn()
    {
        for (int status : { 408, 429, 503 }) {
            EntryVmHarness vm({ [status](const HttpHead& request, const std::string&) {
                return TargetAction { stampedHead(request, "Content-Length: 0\r\n", status) };
            } });
            CHECK_EQUAL(502, statusOf(vm.request("POST", "/call/1", requestHeaders, "order")));
            CHECK_EQUAL(1, vm.targetRequests());
            CHECK_EQUAL(status, statusOf(vm.request("GET", "/read/1", requestHeaders)));
        }
    }

    // The budget holds one turn, and the VM is killed after it.
    void claimsOfProgramsCountWhateverTheirIds()
    {
        constexpr std::size_t longest = 4000;
        for (const std::string& id : { std::string("p1"), std::string(longest, 'p'), std::string(300, '|'),
                 std::string("p\xff\xfe"), std::string("#1") }) {
            EntryVmHarness vm({ [](const HttpHead& request, const std::string&) {
                return TargetAction { stampedHead(request,
                                          "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                    + toChunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n") + "0\r\n\r\n" };
            } });
            std::string headers = requestHeaders + programHeaders(id, "400");
            CHECK_EQUAL(200, statusOf(vm.request("POST", "/turn/1", headers, "prompt")));
            vm.restartVm(0);
            CHECK_EQUAL(402, statusOf(vm.request("POST", "/turn/1", headers, "prompt")));
        }
    }
};

REGISTER_SUITE(UnprovenRefusals);
