#include "CallerCrowd.h"

#include "BootClock.h"
#include "Suite.h"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cinttypes>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace fescue::test {

namespace {

    constexpr std::int64_t bytesPerMb = 1024 * 1024;
    constexpr Milliseconds sampleInterval { 20 };
    constexpr Milliseconds stillTime {
        2500
    }; // Without progress for so long, the callers are as far as they get.
    constexpr Milliseconds watchTime { 1500 };
    constexpr Milliseconds pressTime { 8000 };

    struct Descriptors {
        int count_ = 0;
        std::set<std::uint64_t> sockets_; ///< Their inodes.
    };

    // A process that has ended has none.
    Descriptors descriptorsOf(pid_t process)
    {
        Descriptors found;
        std::error_code ignored;
        std::filesystem::directory_iterator files(fmt::format("/proc/{}/fd", process), ignored);
        for (const auto& file : files) {
            ++found.count_;
            std::string name = std::filesystem::read_symlink(file, ignored).string();
            std::uint64_t inode = 0;
            if (std::sscanf(name.c_str(), "socket:[%" SCNu64, &inode) == 1)
                found.sockets_.insert(inode);
        }
        return found;
    }

    // What the kernel holds for the sockets of a process, and for connections to `ports` that it has not
    // accepted yet.
    SocketBytes kernelBytesOf(const Descriptors& descriptors, const std::set<int>& ports)
    {
        std::ifstream file("/proc/net/tcp");
        std::string line;
        SocketBytes sum;
        constexpr unsigned listening = 0x0a; // Its queue counts connections.
        while (std::getline(file, line)) {
            unsigned localPort = 0;
            unsigned state = 0;
            std::uint64_t unsent = 0;
            std::uint64_t unread = 0;
            std::uint64_t inode = 0;
            int fields = std::sscanf(line.c_str(),
                " %*d: %*x:%x %*x:%*x %x %" SCNx64 ":%" SCNx64 " %*x:%*x %*x %*u %*u %" SCNu64, &localPort,
                &state, &unsent, &unread, &inode);
            if (fields != 5 || state == listening)
                continue;
            bool isAwaitingAccept = inode == 0 && ports.count(static_cast<int>(localPort)) > 0;
            if (isAwaitingAccept || descriptors.sockets_.count(inode) > 0)
                sum += { unread, unsent };
        }
        return sum;
    }

    // Both this process and the VM that it starts need a descriptor for each caller.
    void raiseDescriptorLimit()
    {
        rlimit limit {};
        getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }

    bool isTransient() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

} // namespace

struct CallerCrowd::Caller {
    CallerBytes bytes_;
    int socket_ = -1;
    std::string text_; ///< Being sent.
    std::size_t sent_ = 0; ///< Of the text.
    std::size_t partsLeft_ = 0;
    bool hasEnded_ = false;
    bool isClosed_ = false;

    bool isDone() const { return isClosed_ || (hasEnded_ && sent_ == text_.size()); }

    // The next piece is as large as one write.
    void fill()
    {
        if (sent_ < text_.size() || hasEnded_)
            return;
        text_.clear();
        sent_ = 0;
        while (partsLeft_ > 0 && text_.size() < bytes_.maxSend_) {
            text_ += bytes_.part_;
            --partsLeft_;
        }
        if (partsLeft_ == 0) {
            text_ += bytes_.end_;
            hasEnded_ = true;
        }
    }
};

CallerCrowd::CallerCrowd(const EntryVmHarness& harness, const std::vector<CallerBytes>& callers,
    int receiveBuffer, std::optional<int> port)
    : harness_(harness)
{
    raiseDescriptorLimit();
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port ? *port : harness.port()));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (const CallerBytes& bytes : callers) {
        auto caller = std::make_unique<Caller>();
        caller->bytes_ = bytes;
        caller->text_ = bytes.head_;
        caller->partsLeft_ = bytes.parts_;
        caller->socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (caller->socket_ < 0)
            throw std::runtime_error("cannot open a socket for each caller; raise the limit of open files");
        if (receiveBuffer > 0)
            setsockopt(caller->socket_, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        int result = connect(caller->socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        caller->isClosed_ = result != 0 && errno != EINPROGRESS;
        callers_.push_back(std::move(caller));
    }
}

CallerCrowd::~CallerCrowd()
{
    for (const auto& caller : callers_)
        close(caller->socket_);
}

// Returns whether bytes were sent or the connection has ended.
bool CallerCrowd::sendSome(Caller& caller) const
{
    if (caller.isDone())
        return false;
    caller.fill();
    ssize_t size = ::send(caller.socket_, caller.text_.data() + caller.sent_,
        caller.text_.size() - caller.sent_, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size >= 0)
        caller.sent_ += static_cast<std::size_t>(size);
    else if (isTransient() || errno == ENOTCONN)
        return false;
    else
        caller.isClosed_ = true;
    return true;
}

void CallerCrowd::sample()
{
    Descriptors descriptors = descriptorsOf(harness_.processId());
    SocketBytes kernel = kernelBytesOf(descriptors, harness_.listeningPorts());
    auto unread = static_cast<std::int64_t>(kernel.unread_);
    std::int64_t resident = harness_.residentMemory().value_;
    peak_.bytes_ = std::max(peak_.bytes_, resident + unread);
    peak_.resident_ = std::max(peak_.resident_, resident);
    peak_.unread_ = std::max(peak_.unread_, unread);
    peak_.unsent_ = std::max(peak_.unsent_, static_cast<std::int64_t>(kernel.unsent_));
    peak_.descriptors_ = std::max(peak_.descriptors_, descriptors.count_);
}

// Samples on a thread of its own, since what a VM holds may pass within a fraction of a second.
class CallerCrowd::Sampler {
public:
    explicit Sampler(CallerCrowd& crowd)
        : thread_([this, &crowd] {
            while (!isStopped_) {
                crowd.sample();
                std::this_thread::sleep_for(sampleInterval);
            }
        })
    {
    }
    ~Sampler()
    {
        isStopped_ = true;
        thread_.join();
    }
    Sampler(const Sampler&) = delete;
    Sampler& operator=(const Sampler&) = delete;

private:
    std::atomic<bool> isStopped_ { false };
    std::thread thread_;
};

void CallerCrowd::sendAll()
{
    MonotonicTime start = bootNow();
    MonotonicTime lastMoved = start;
    while (
        std::any_of(callers_.begin(), callers_.end(), [](const auto& caller) { return !caller->isDone(); })) {
        bool hasMoved = false;
        for (const auto& caller : callers_)
            hasMoved = sendSome(*caller) || hasMoved;
        MonotonicTime now = bootNow();
        if (hasMoved)
            lastMoved = now;
        if (now > lastMoved + stillTime || now > start + pressTime)
            return;
        if (!hasMoved)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

void CallerCrowd::press()
{
    Sampler sampler(*this);
    sendAll();
}

void CallerCrowd::pressAcrossPause(EntryVmHarness& harness)
{
    Sampler sampler(*this);
    harness.process().pause();
    sendAll();
    harness.process().signal(SIGCONT);
    sendAll();
}

void CallerCrowd::watch()
{
    Sampler sampler(*this);
    std::this_thread::sleep_for(watchTime);
}

std::vector<CallerBytes> crowdOf(std::size_t count, const CallerBytes& caller)
{
    return std::vector<CallerBytes>(count, caller);
}

std::string callHead(const std::string& framing)
{
    return "POST /call/x HTTP/1.1\r\nHost: h.example\r\nFescuewinch-Request-Id: r1\r\n" + framing + "\r\n";
}

std::string chunkOf(std::size_t bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'b'));
}

void checkWithstood(
    EntryVmHarness& harness, const CallerCrowd& crowd, const VmLimits& limits, TargetRoom room)
{
    const HeldPeak& peak = crowd.peak();
    auto megabytes
        = [](std::int64_t bytes) { return static_cast<double>(bytes) / static_cast<double>(bytesPerMb); };
    std::printf("%.1f of %d MB (at most %.1f resident, %.1f unread; %.1f unsent), %d descriptors\n",
        megabytes(peak.bytes_), limits.memoryMb_, megabytes(peak.resident_), megabytes(peak.unread_),
        megabytes(peak.unsent_), peak.descriptors_);
    CHECK(!harness.process().tryReap());
    CHECK(peak.bytes_ <= limits.memoryMb_ * bytesPerMb);
    if (limits.maxFds_ > 0)
        CHECK(peak.descriptors_ <= limits.maxFds_);
    std::string answer = harness.request("GET", "/read/a", "Fescuewinch-Request-Id: ordinary\r\n");
    bool isRefused = statusOf(answer) == 503 && answer.find("Retry-After: ") != std::string::npos;
    if (statusOf(answer) != 200)
        std::printf("the ordinary caller got: %s\n", answer.c_str());
    if (room == TargetRoom::Free || !isRefused)
        CHECK_EQUAL(200, statusOf(answer));
}

void withstandCrowd(const std::vector<CallerBytes>& callers, const VmLimits& limits)
{
    EntryVmHarness vm({ [](const HttpHead& request, const std::string&) {
        return TargetAction { stampedResponse(request, "ok") };
    } },
        true, 1, limits);
    CallerCrowd crowd(vm, callers);
    crowd.press();
    crowd.watch();
    checkWithstood(vm, crowd, limits);
}

} // namespace fescue::test
