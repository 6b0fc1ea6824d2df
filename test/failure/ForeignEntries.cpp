// Guards against entries of other writers among those of the targets that end a VM, or keep it from following
// the list.

#include "EntryVmHarness.h"
#include "Suite.h"

#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr std::chrono::milliseconds untilRead { 1500 };

std::string entryWith(const std::string& slots, const std::string& report, const std::string& port,
    const std::string& start = "1000")
{
    return fmt::format(
        R"({{"service":"app","address":"127.0.0.1:{}","zone":"z","version":"v1","slots":{},"state":"ready",)"
        R"("seq":{},"born":{}}})",
        port, slots, report, start);
}

std::string nested(std::size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

std::vector<std::string> oddEntries()
{
    constexpr std::size_t levels = 100000;
    return { nested(levels), std::string(levels, '['), R"({"service":)" + nested(levels) + "}",
        entryWith("1e300", "1", "9"), entryWith("12", "1e300", "9"), entryWith("12", "1", "9", "1e300"),
        entryWith("12", "1", "9", "-1e300"), entryWith("1e999", "1", "9"),
        entryWith("12", "123456789012345678901234567890", "9"), entryWith("12", "1", "65536"),
        entryWith("12", "1", "-1"), entryWith("12", "1", "99999999999999999999"), "\xff\xfe\x01", "null", "7",
        "\"\"" };
}

} // namespace

class ForeignEntries : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ForeignEntries);
    CPPUNIT_TEST(vmServesAndFollowsTheListBesideOddEntries);
    CPPUNIT_TEST(oddEntryOfATargetDoesNotHideThatItLeaves);
    CPPUNIT_TEST_SUITE_END();

    static ScriptedTarget::Script answerAll()
    {
        return [](const HttpHead& request, const std::string&) {
            return TargetAction { stampedResponse(request, "done") };
        };
    }

    static int statusOfCall(const EntryVmHarness& vm)
    {
        return statusOf(vm.request("POST", "/call/1", requestHeaders, "order"));
    }

    static void checkThatALeavingTargetIsNotUsed(EntryVmHarness& vm)
    {
        vm.announce(0, { "v1", true });
        std::this_thread::sleep_for(untilRead);
        int before = vm.target(0).requests();
        for (int i = 0; i < 20; ++i)
            CHECK_EQUAL(200, statusOfCall(vm));
        CHECK_EQUAL(before, vm.target(0).requests());
    }

public:
    void vmServesAndFollowsTheListBesideOddEntries()
    {
        EntryVmHarness vm({ answerAll(), answerAll() });
        int number = 0;
        for (const std::string& entry : oddEntries())
            vm.runOnStore([&](standin::PlatformStore& store) {
                store.put("keyed.servers", "odd-" + std::to_string(++number), entry);
                store.put("keyed.servers", "odd\r\nid-" + std::to_string(number), entryWith("12", "1", "9"));
            });
        std::this_thread::sleep_for(untilRead);
        CHECK_EQUAL(200, vm.readinessStatus());
        for (int i = 0; i < 20; ++i)
            CHECK_EQUAL(200, statusOfCall(vm));
        checkThatALeavingTargetIsNotUsed(vm);
        vm.restartVm(0);
        CHECK_EQUAL(200, statusOfCall(vm));
    }

    // Reports of a target are in order of their numbers, so a number that is too large would hide all others.
    void oddEntryOfATargetDoesNotHideThatItLeaves()
    {
        for (bool isNumber : { true, false }) {
            EntryVmHarness vm({ answerAll(), answerAll() });
            std::string port = std::to_string(vm.target(0).port());
            std::string entry
                = isNumber ? entryWith("12", "1e300", port) : entryWith("12", "1", port, "1e300");
            CHECK_EQUAL(200, statusOfCall(vm));
            vm.runOnStore(
                [&](standin::PlatformStore& store) { store.put("keyed.servers", "i-app-0", entry); });
            std::this_thread::sleep_for(untilRead);
            checkThatALeavingTargetIsNotUsed(vm);
        }
    }
};

REGISTER_SUITE(ForeignEntries);
