// An invalid setting is reported in one line that names it, with exit status 2.

#include "Process.h"
#include "Suite.h"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

using namespace fescue::test;

class BadSettings : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BadSettings);
    CPPUNIT_TEST(eachInvalidSettingIsNamedInOneLine);
    CPPUNIT_TEST(addressInUseIsReportedWithItsRemedy);
    CPPUNIT_TEST(settingsFileThatStaysUnusableEndsTheStart);
    CPPUNIT_TEST(helpAndVersionSucceed);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachInvalidSettingIsNamedInOneLine();
    void addressInUseIsReportedWithItsRemedy();
    void settingsFileThatStaysUnusableEndsTheStart();
    void helpAndVersionSucceed();
};

REGISTER_SUITE(BadSettings);

namespace {

// Returns what the program has printed.
std::string checkEnds(const char* program, const std::vector<std::string>& flags)
{
    ProcessResult finished = runProcess(program, flags);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(finished.output_, 2, finished.status_);
    return finished.output_;
}

void checkNames(const std::string& output, const std::string& named)
{
    CPPUNIT_ASSERT_MESSAGE(output, output.find(named) != std::string::npos);
}

void checkRejected(const std::vector<std::string>& flags, const std::string& named)
{
    std::string output = checkEnds("fescue-scheduler", flags);
    checkNames(output, named);
    CHECK_EQUAL(std::ptrdiff_t { 1 }, std::count(output.begin(), output.end(), '\n'));
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

// Guards against a message that says only what has failed.
void BadSettings::addressInUseIsReportedWithItsRemedy()
{
    asio::io_context io;
    asio::ip::tcp::acceptor other(io, { asio::ip::address_v4::loopback(), 0 });
    std::uint16_t port = other.local_endpoint().port();
    std::string address = fmt::format("127.0.0.1:{}", port);
    std::vector<std::string> urls { "--log_url=http://127.0.0.1:1", "--vms_url=http://127.0.0.1:1" };
    const std::string remedy = "no other process";
    checkNames(checkEnds("fescue-gateway",
                   { "--vm=v", "--zone=z", "--scheduler=127.0.0.1:1", "--listen=" + address }),
        remedy);
    checkNames(
        checkEnds("fescue-scheduler", { "--vm=v", "--zone=z", urls[0], urls[1], "--listen=" + address }),
        remedy);
    checkNames(checkEnds("fescue-scheduler",
                   { "--vm=v", "--zone=z", urls[0], urls[1], fmt::format("--http_port={}", port) }),
        remedy);
}

// A file that is not complete after 3 s is none that is being written.
void BadSettings::settingsFileThatStaysUnusableEndsTheStart()
{
    std::string file = fmt::format("/tmp/fescue-settings-test-{}.yaml", ::getpid());
    std::remove(file.c_str());
    std::string missing = checkEnds("fescue-entry", { "--settings=" + file });
    checkNames(missing, file + ": cannot be opened; check the path");
    checkNames(missing, R"("event":"start-failed")");
    // Where no file is named, the platform's own path is used.
    checkNames(
        checkEnds("fescue-entry", {}), "/etc/fescuewinch/settings.yaml: cannot be opened; check the path");
    std::ofstream(file) << "node-name: vm-a\n";
    std::string invalid = checkEnds("fescue-entry", { "--settings=" + file });
    std::remove(file.c_str());
    checkNames(invalid, "; check the settings file");
    checkNames(invalid, R"("event":"start-failed")");
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
