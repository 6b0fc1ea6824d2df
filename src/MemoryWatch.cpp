#include "MemoryWatch.h"

#include <array>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace fescue {

namespace {

    constexpr Milliseconds readInterval { 250 };
    constexpr int lowestReportedTenth = 5;
    constexpr int tenths = 10;

} // namespace

std::optional<ByteCount> residentMemory()
{
    int file = ::open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
    if (file < 0)
        return std::nullopt;
    std::array<char, 64> text {};
    ssize_t size = ::read(file, text.data(), text.size() - 1);
    ::close(file);
    long total = 0;
    long resident = 0;
    if (size <= 0 || std::sscanf(text.data(), "%ld %ld", &total, &resident) != 2)
        return std::nullopt;
    return ByteCount { resident * ::sysconf(_SC_PAGESIZE) };
}

bool isReadDue(MemoryWatch& watch, MonotonicTime now)
{
    if (now < watch.readAt_)
        return false;
    watch.readAt_ = now + readInterval;
    return true;
}

bool takeUse(MemoryWatch& watch, const MemoryUse& use)
{
    watch.use_ = use;
    if (watch.limit_.value_ <= 0)
        return false;
    auto reached = static_cast<int>(use.total() * tenths / watch.limit_.value_);
    if (reached > watch.reportedTenths_ && reached >= lowestReportedTenth) {
        watch.reportedTenths_ = reached;
        return true;
    }
    // Memory that goes up and down around a tenth is not reported again and again.
    if (reached + 1 < watch.reportedTenths_)
        watch.reportedTenths_ = reached + 1;
    return false;
}

} // namespace fescue
