// Guards against answers of the store that exceed the memory of a VM's machine, so that its process is
// killed.

#include "EntryVmHarness.h"
#include "Suite.h"

#include <fmt/format.h>

using namespace fescue;
using namespace fescue::test;

class StoreAnswers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreAnswers);
    CPPUNIT_TEST(manyLargeEntriesOfAnotherWriter);
    CPPUNIT_TEST(manyLongNamesOfAnotherWriter);
    CPPUNIT_TEST(answersThatAreTooLarge);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t megabyte = 1024 * 1024;
    static constexpr VmLimits limits { 120, 8200, 4 << 20 };
    static constexpr const char* targetTopic = "keyed.servers";

    static TargetAction answerOk(const HttpHead& request, const std::string&)
    {
        return { stampedResponse(request, "ok") };
    }

    static bool isServed(const EntryVmHarness& vm)
    {
        return statusOf(vm.request("GET", "/read/a", "Fescuewinch-Request-Id: ordinary\r\n")) == 200;
    }

    static void checkWithstood(EntryVmHarness& vm)
    {
        CHECK(!vm.process().tryReap());
        std::int64_t peak = vm.peakResidentMemory().value_;
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} MB were resident", peak / static_cast<std::int64_t>(megabyte)),
            peak > 0 && peak < static_cast<std::int64_t>(limits.memoryMb_ * megabyte));
    }

    // The newest record of each key is retained, and a partition holds up to 200 MB.
    static void withstandEntries(const std::string& value)
    {
        constexpr std::size_t recordBytes = 150 * megabyte;
        EntryVmHarness vm({ answerOk }, true, 1, limits);
        vm.runOnStore([&](standin::PlatformStore& store) {
            for (std::size_t i = 0; i < recordBytes / value.size(); ++i)
                store.put(targetTopic, fmt::format("foreign-{}", i), value);
            store.compact(targetTopic);
        });
        vm.restartVm(0);
        vm.waitUntil("a request is served", [&vm] { return isServed(vm); });
        checkWithstood(vm);
    }

public:
    void manyLargeEntriesOfAnotherWriter() { withstandEntries(std::string(250 * 1024, 'x')); }

    void manyLongNamesOfAnotherWriter()
    {
        withstandEntries(fmt::format(
            R"({{"service":"other","address":"127.0.0.1:9","zone":"{}","state":"ready","slots":1}})",
            std::string(250 * 1024, 'z')));
    }

    // Of small values, of which a tree takes many times the memory; for a VM that runs, and for one that
    // starts. Such an answer is not one of the platform, so all that is due is that the VM stays alive, and
    // serves once the store answers in order.
    void answersThatAreTooLarge()
    {
        constexpr std::size_t valueBytes = 40 * megabyte;
        constexpr auto timeOfManyReads = std::chrono::milliseconds(3000);
        std::string value = "[0";
        while (value.size() < valueBytes)
            value += ",0";
        EntryVmHarness vm({ answerOk }, true, 1, limits);
        vm.runOnStore([&](standin::PlatformStore& store) { store.put(targetTopic, "odd", value + "]"); });
        std::this_thread::sleep_for(timeOfManyReads);
        checkWithstood(vm);
        vm.replaceProcess(0);
        std::this_thread::sleep_for(timeOfManyReads);
        checkWithstood(vm);
        vm.runOnStore([](standin::PlatformStore& store) {
            store.put(targetTopic, "odd", "");
            store.compact(targetTopic);
        });
        vm.waitUntil("a request is served", [&vm] { return isServed(vm); });
        checkWithstood(vm);
    }
};

REGISTER_SUITE(StoreAnswers);
