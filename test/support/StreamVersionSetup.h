#pragma once

/** \file
 * StreamVersionSetup: streams that break off after their first event, before targets of two software
 * versions.
 */

#include "EntryVmHarness.h"
#include "Suite.h"

#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace fescue::test {

inline const std::string streamHeaders
    = "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Which targets ran each stream, by the attempt that began it. Thread-safe. */
class BrokenOffStreams {
public:
    // The target breaks each new stream off after its first event, and completes the resumed ones.
    ScriptedTarget::Script script(std::size_t target)
    {
        return [this, target](const HttpHead& request, const std::string&) {
            std::string attempt = *findHeader(request, "Fescuewinch-Request-Id");
            const std::string* resumes = findHeader(request, "Resumes");
            std::lock_guard<std::mutex> lock(mutex_);
            const std::string& first = resumes ? *resumes : attempt;
            runs_[first].push_back(target);
            services_[first].insert(serviceOf(*findHeader(request, "Fescuewinch-Expect-Instance")));
            bool isBroken = !resumes || breaksResumed_;
            std::string body = toChunk(isBroken ? "id: 1\ndata: a\n\n" : "id: 2\ndata: b\n\n");
            return TargetAction { "HTTP/1.1 200 OK\r\nFescuewinch-Request-Id: " + attempt
                    + "\r\nFescuewinch-Response-Stamp: s" + streamHeaders + body
                    + (isBroken ? "" : "0\r\n\r\n"),
                isBroken };
        };
    }

    std::vector<std::size_t> runsOf(const std::string& attempt) const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = runs_.find(attempt);
        return found == runs_.end() ? std::vector<std::size_t>() : found->second;
    }

    // The services that ran the stream.
    std::set<std::string> servicesOf(const std::string& attempt) const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto found = services_.find(attempt);
        return found == services_.end() ? std::set<std::string>() : found->second;
    }

    std::atomic<bool> breaksResumed_ { false };

private:
    // Ids of the stand-ins' targets are `i-SERVICE-NUMBER`.
    static std::string serviceOf(const std::string& target)
    {
        std::size_t begin = target.find('-') + 1;
        return target.substr(begin, target.find('-', begin) - begin);
    }

    mutable std::mutex mutex_;
    std::map<std::string, std::vector<std::size_t>> runs_;
    std::map<std::string, std::set<std::string>> services_;
};

/** Entry VMs before two targets of each of two versions, the even ones of v1 and the odd ones of v2. To be
 * used on the test's thread. */
struct StreamVersionSetup {
    BrokenOffStreams streams_;
    EntryVmHarness vms_;
    int attempts_ = 0;
    bool hasPrograms_ = true; ///< Whether streams are turns of programs, each of its own.
    std::string path_ = "/turn/1";

    /** VMs beyond those in `zones` are in the zone of the targets. */
    explicit StreamVersionSetup(
        std::size_t vms, bool hasTwoVersions = true, std::vector<std::string> zones = {})
        : vms_({ streams_.script(0), streams_.script(1), streams_.script(2), streams_.script(3) }, true, vms,
            {}, std::move(zones))
    {
        if (!hasTwoVersions)
            return;
        for (std::size_t odd : { 1, 3 })
            vms_.announce(odd, { "v2" });
        std::this_thread::sleep_for(std::chrono::milliseconds(1500)); // All VMs have read the list.
    }

    // Sends an attempt of a turn; `extra` are further header lines.
    std::string send(
        std::size_t vm, const std::string& first, const std::string& attempt, const std::string& extra = "")
    {
        std::string program = "Fescuewinch-Program-Id: " + first + "\r\nFescuewinch-Token-Budget: 90000\r\n";
        return vms_.requestAt(vm, "POST", path_,
            "Fescuewinch-Request-Id: " + attempt + "\r\nFescuewinch-Deadline-Ms: 1200\r\n"
                + "Fescuewinch-Token-Count: 100,300\r\n" + (hasPrograms_ ? program : "") + extra,
            "prompt of " + first);
    }

    // Begins a stream, which breaks off, and returns the attempt that began it.
    std::string begin(std::size_t vm)
    {
        std::string attempt = "first-" + std::to_string(++attempts_);
        send(vm, attempt, attempt);
        CHECK_EQUAL(std::size_t { 1 }, streams_.runsOf(attempt).size());
        return attempt;
    }

    std::string resume(std::size_t vm, const std::string& first)
    {
        return send(vm, first, "next-" + std::to_string(++attempts_),
            "Resumes: " + first + "\r\nLast-Event-Id: 1\r\n");
    }

    // One target of each version leaves, so that half of the streams have to go on at another target.
    void letOneOfEachVersionLeave()
    {
        vms_.announce(0, { "v1", true });
        vms_.announce(1, { "v2", true });
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    }

    // Whether all targets that ran the stream have the version that began it.
    bool hasOneVersion(const std::string& first) const
    {
        std::set<std::size_t> versions;
        for (std::size_t target : streams_.runsOf(first))
            versions.insert(target % 2);
        return versions.size() == 1;
    }
};

} // namespace fescue::test
