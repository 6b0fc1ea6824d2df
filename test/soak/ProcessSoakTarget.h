#pragma once

/** \file
 * ProcessSoakTarget: a target of the process soak, a process of its own that reports itself to the store.
 */

#include "PlatformStore.h"
#include "Process.h"

#include <map>
#include <optional>
#include <random>

namespace fescue::test {

/** A target process that is ended by signals or by itself, and started again at its address. Must be used on
 * the thread of the store's event loop. */
class ProcessSoakTarget {
public:
    /** Where its processes are and what they serve. */
    struct Place {
        std::string name_;
        std::string service_;
        std::string zone_;
        std::string version_;
        std::string folder_; ///< For its log.
        /** Whether a start with another software version may have the id of the one before. */
        bool changesVersionUnderOneId_ = false;
        std::vector<std::string> flags_; ///< Of standin-target, for each start.
    };

    ProcessSoakTarget(
        asio::io_context& io, standin::PlatformStore& store, const Place& place, std::uint64_t seed);

    /** Starts the process. `flags` are further ones of standin-target. */
    void start(const std::vector<std::string>& flags = {});
    /** Sends a signal that ends the process, and starts it again `downFor` after its end. */
    void end(int signal, Milliseconds downFor);
    /** Kills the process and starts one at once that will end itself: `endPoint` and `endKind` are values of
     * the flags of standin-target. It is started again `downFor` after that. */
    void startEndingItself(const std::string& endPoint, const std::string& endKind, Milliseconds downFor);
    /** Suspends the process by SIGSTOP for a while; with `isKilledThen` it is killed afterwards. */
    void pause(Milliseconds time, bool isKilledThen, Milliseconds downFor);
    /** Reports that it leaves, and ends the process by SIGTERM after the drain time. */
    void leave(Milliseconds downFor);
    /** Continues a suspended process, and starts an ended one at once. */
    void heal();
    /** Reports the target to the store, removes entries that have lapsed, and carries out what is due. While
     * the store is down, it gets no reports and no entry lapses. */
    void tick(MonotonicTime now, bool isStoreDown);
    const std::string& name() const { return place_.name_; }
    const std::string& logFile() const { return logFile_; }

private:
    bool draw(int percent);
    void chooseNextStart();
    void handleEnd(MonotonicTime now);
    void report(MonotonicTime now);
    void removeLapsedEntries(MonotonicTime now);

    standin::PlatformStore& store_;
    Place place_;
    std::mt19937_64 random_;
    int port_ = 0;
    std::string logFile_;
    int starts_ = 0;
    std::string id_;
    std::int64_t born_ = 0; ///< Unix time of the start, in milliseconds.
    std::uint64_t reports_ = 0; ///< Of this start.
    bool isLeaving_ = false;
    std::map<std::string, MonotonicTime> reportedAt_; ///< Ids in the store.
    MonotonicTime nextReport_;
    Milliseconds downFor_ { 0 };
    bool isKilledAfterPause_ = false;
    std::optional<MonotonicTime> resumeAt_;
    std::optional<MonotonicTime> stopAt_;
    std::optional<MonotonicTime> startAt_;
    std::unique_ptr<Process> process_;
};

} // namespace fescue::test
