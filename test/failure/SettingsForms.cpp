// Settings that say the same in another form, or leave out what has a default, start a VM.

#include "LoneVm.h"
#include "Suite.h"

#include <csignal>
#include <memory>
#include <vector>

using namespace fescue::test;

class SettingsForms : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SettingsForms);
    CPPUNIT_TEST(otherFormsOfNumbersStart);
    CPPUNIT_TEST(emptyAndAbsentFieldsStart);
    CPPUNIT_TEST(reloadTakesOtherForms);
    CPPUNIT_TEST_SUITE_END();

public:
    void otherFormsOfNumbersStart();
    void emptyAndAbsentFieldsStart();
    void reloadTakesOtherForms();
};

REGISTER_SUITE(SettingsForms);

namespace {

struct Change {
    std::string part_;
    std::string replacement_;
};

std::string changed(std::string text, const Change& change)
{
    std::size_t at = text.find(change.part_);
    CPPUNIT_ASSERT_MESSAGE(change.part_, at != std::string::npos);
    return text.replace(at, change.part_.size(), change.replacement_);
}

// All at once, since some of them wait.
void checkAllServe(const std::vector<Change>& changes)
{
    std::vector<std::unique_ptr<LoneVm>> vms;
    for (const Change& change : changes) {
        vms.push_back(std::make_unique<LoneVm>(findFreeAddresses()));
        vms.back()->writeSettings(changed(vms.back()->settings(), change));
        vms.back()->start();
    }
    std::string failed;
    for (std::size_t i = 0; i < vms.size(); ++i) {
        if (!vms[i]->waitUntilServing())
            failed
                += "\"" + changes[i].replacement_ + "\" for \"" + changes[i].part_ + "\": " + vms[i]->log();
    }
    CPPUNIT_ASSERT_MESSAGE(failed, failed.empty());
}

} // namespace

// Guards against an exit with status 2 at every start, since a whole number was written as a fraction.
void SettingsForms::otherFormsOfNumbersStart()
{
    checkAllServe({
        { "memory-mb: 260", "memory-mb: 260.0" },
        { "memory-mb: 260", "memory-mb: 260.5" },
        { "memory-mb: 260", "memory-mb: \"260\"" },
        { "heartbeat-ms: 1200", "heartbeat-ms: 1200.0" },
        { "record-bytes: 262144", "record-bytes: 2.62144e5" },
        { "parts: 12", "parts: 12.0" },
        { "grace-s: 3", "grace-s: 3.5" },
    });
}

// Guards against an exit with status 2 over fields that have a default.
void SettingsForms::emptyAndAbsentFieldsStart()
{
    checkAllServe({
        { "heartbeat-ms: 1200", "heartbeat-ms: null" },
        { "record-bytes: 262144", "record-bytes:" },
        { "memory-mb: 260", "max-fds: ~" },
        { "memory-mb: 260", "memory-mb: 260\n  max-fds: 200" },
        { "  cpu-quota: 1\n", "" },
        { "  drain-ms: 2000\n", "" },
        { "  config-apply-ms: 2000\n", "" },
        { "  grace-s: 3\n", "" },
        { "limits:\n  cpu-quota: 1\n  memory-mb: 260\n", "" },
    });
}

void SettingsForms::reloadTakesOtherForms()
{
    LoneVm vm(findFreeAddresses());
    vm.start();
    CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.waitUntilServing());
    vm.writeSettings(changed(vm.settings(), { "memory-mb: 260", "memory-mb: 260.0" }));
    vm.process().signal(SIGHUP);
    CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.waitForLog(R"("outcome":"taken")"));
    vm.writeSettings(changed(vm.settings(), { "  grace-s: 3\n", "" }));
    vm.process().signal(SIGHUP);
    CPPUNIT_ASSERT_MESSAGE(vm.log(), vm.waitForLog(R"("fields":"bounds.grace-s")"));
}
