#pragma once

/** \file
 * CallerCrowd: many callers at once that send what they like and stay open, and what they make a VM hold.
 */

#include "EntryVmHarness.h"

#include <memory>
#include <optional>

namespace fescue::test {

/** What one caller of a crowd sends. */
struct CallerBytes {
    std::string head_;
    std::string part_; ///< Sent `parts_` times after the head.
    std::size_t parts_ = 0;
    std::string end_; ///< Sent last; empty for a caller that stops short.
    std::size_t maxSend_ = 256 * 1024; ///< Bytes of one write.
};

/** The most that a VM was seen to hold. */
struct HeldPeak {
    std::int64_t bytes_ = 0; ///< Resident memory and bytes that were received and not read, on all sockets.
    std::int64_t resident_ = 0;
    std::int64_t unread_ = 0;
    std::int64_t unsent_ = 0; ///< Written by the VM and not acknowledged. Not in the sum.
    int descriptors_ = 0;
};

/** Callers that send at the same time, read nothing and keep their connections open until destroyed. Must be
 * used on the test's thread. */
class CallerCrowd {
public:
    /** Connects all callers to a port of a VM, by default that for callers. A caller whose connection fails
     * counts as closed. Throws if this process may not open so many sockets. */
    CallerCrowd(const EntryVmHarness& harness, const std::vector<CallerBytes>& callers, int receiveBuffer = 0,
        std::optional<int> port = {});
    ~CallerCrowd();
    CallerCrowd(const CallerCrowd&) = delete;
    CallerCrowd& operator=(const CallerCrowd&) = delete;

    /** Sends until all callers have sent all or are closed, or nothing has moved for a while, or callers
     * have had some seconds. */
    void press();
    /** The same while the VM's process is suspended, as a machine may be, and once it goes on. */
    void pressAcrossPause(EntryVmHarness& harness);
    /** Watches for a while what the VM holds. */
    void watch();
    const HeldPeak& peak() const { return peak_; }

private:
    struct Caller;
    class Sampler;
    bool sendSome(Caller& caller) const;
    void sample();
    void sendAll();

    const EntryVmHarness& harness_;
    std::vector<std::unique_ptr<Caller>> callers_;
    HeldPeak peak_;
};

/** The same caller many times. */
std::vector<CallerBytes> crowdOf(std::size_t count, const CallerBytes& caller);
/** Head of a call; `framing` are header lines that each end in CRLF. */
std::string callHead(const std::string& framing);
/** A chunk of a body. */
std::string chunkOf(std::size_t bytes);

/** Whether targets have room for an ordinary request while the crowd is open. */
enum class TargetRoom { Free, TakenByCrowd };

/** Checks that the VM's process lives, has held at most its machine's memory, and serves an ordinary request
 * while the crowd is open; one that finds no target may be refused with a time to come back instead. */
void checkWithstood(EntryVmHarness& harness, const CallerCrowd& crowd, const VmLimits& limits,
    TargetRoom room = TargetRoom::Free);

/** Puts callers before one VM whose target answers at once, and checks that it withstands them. */
void withstandCrowd(const std::vector<CallerBytes>& callers, const VmLimits& limits);

} // namespace fescue::test
