// An invalid setting is reported in one line that names it, with exit status 2.

#include "Process.h"
#include "Suite.h"

#include <algorithm>

using namespace fescue::test;

class BadSettings : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BadSettings);
    CPPUNIT_TEST(eachInvalidSettingIsNamedInOneLine);
    CPPUNIT_TEST(helpAndVersionSucceed);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachInvalidSettingIsNamedInOneLine();
    void helpAndVersionSucceed();
};

REGISTER_SUITE(BadSettings);

namespace {

void checkRejected(const std::vector<std::string>& flags, const std::string& named)
{
    ProcessResult finished = runProcess("fescue-scheduler", flags);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(finished.output_, 2, finished.status_);
    CPPUNIT_ASSERT_MESSAGE(finished.output_, finished.output_.find(named) != std::string::npos);
    CHECK_EQUAL(std::ptrdiff_t { 1 }, std::count(finished.output_.begin(), finished.output_.end(), '\n'));
}

} // namespace

void BadSettings::eachInvalidSettingIsNamedInOneLine()
{
    std::vector<std::string> good { "--vm=v", "--zone=z", "--log_url=http://127.0.0.1:1",
        "--vms_url=http://127.0.0.1:1" };
    auto with = [&good](const std::string& flag) {
        std::vector<std::string> flags = good;
        flags.push_back(flag);
        return flags;
    };
    checkRejected({ "--vm=v" }, "--zone");
    checkRejected(with("--no_such_flag=1"), "--no_such_flag");
    checkRejected(with("--listen=nonsense"), "--listen");
    checkRejected(with("--threads=0"), "--threads");
    checkRejected(with("--threads=many"), "--threads");
    checkRejected(with("--log_url=127.0.0.1"), "--log_url");
}

void BadSettings::helpAndVersionSucceed()
{
    for (const char* program : { "fescue-scheduler", "fescue-gateway", "fescuectl" }) {
        ProcessResult help = runProcess(program, { "--help" });
        CHECK_EQUAL(0, help.status_);
        CHECK(help.output_.find(program) != std::string::npos);
        CHECK_EQUAL(0, runProcess(program, { "--version" }).status_);
    }
}
