// When a settings file counts, by the time for which it has been the same.

#include "SettingsFile.h"
#include "Suite.h"

#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

using namespace fescue;

namespace {

const std::string bounds = "bounds: { drain-ms: 2000, grace-s: 3, config-apply-ms: 2000 }\n";
const std::string limits = "limits: { cpu-quota: 1, memory-mb: 260 }\n";
const std::string needed = R"(node-name: vm-a
ip: 127.0.0.1
zone: z
port-range: [ 7380, 7395 ]
listen: { frontend: "127.0.0.1:8149", ready: "127.0.0.1:8141" }
platform: { address: "127.0.0.1:8142", parts: 12 }
)";

// A file on disk, and a reader of it whose clock the test sets.
struct ReadFile {
    std::string path_ = fmt::format("/tmp/fescue-settings-file-{}.yaml", ::getpid());
    SettingsFile file_ { path_, {} };
    MonotonicTime now_ = MonotonicTime {} + Milliseconds { 1000 };

    ~ReadFile() { std::remove(path_.c_str()); }
    void write(const std::string& text) const { std::ofstream(path_) << text; }

    // Reads every 10 ms for so long, or until the file counts.
    std::optional<SettingsResult> readFor(Milliseconds time)
    {
        for (MonotonicTime end = now_ + time; now_ <= end; now_ += Milliseconds { 10 }) {
            if (auto settings = readSettingsFile(file_, now_))
                return settings;
        }
        return std::nullopt;
    }
};

} // namespace

class SettingsFiles : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SettingsFiles);
    CPPUNIT_TEST(completeFileCountsSoon);
    CPPUNIT_TEST(incompleteFileIsReadAgainWhileItMayBeWritten);
    CPPUNIT_TEST(incompleteFileCountsInTheEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    void completeFileCountsSoon()
    {
        ReadFile read;
        read.write(needed + bounds + limits);
        auto settings = read.readFor(Milliseconds { 100 });
        CHECK(settings && *settings && (*settings)->defaulted_.empty());
    }

    // Guards against defaults in place of fields that the platform has not written yet.
    void incompleteFileIsReadAgainWhileItMayBeWritten()
    {
        ReadFile read;
        read.write(needed + bounds);
        CHECK(!read.readFor(Milliseconds { 2500 }));
        read.write(needed + bounds + limits);
        auto settings = read.readFor(Milliseconds { 100 });
        CHECK(settings && *settings && (*settings)->defaulted_.empty());
        CHECK_EQUAL(std::int64_t { 260 }, (*settings)->settings_.memoryMb_);
    }

    void incompleteFileCountsInTheEnd()
    {
        ReadFile read;
        read.write(needed + bounds);
        auto settings = read.readFor(Milliseconds { 3100 });
        CHECK(settings && *settings);
        CHECK(
            ((*settings)->defaulted_ == std::vector<std::string> { "limits.cpu-quota", "limits.memory-mb" }));
    }
};

REGISTER_SUITE(SettingsFiles);
