#pragma once

/** \file
 * PlatformStore: an in-memory fake of the platform's store with fault injection.
 *
 * It serves appends, reads and the newest record of each key. Consumer groups, rate limits and expiring
 * partitions are not implemented, so a test that needs them fails visibly.
 */

#include "FrontServer.h"
#include "OutboundPool.h"

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fescue::standin {

/** Faults that are currently injected. */
struct StoreFaults {
    bool isDown_ = false; ///< Answers `downStatus_` without applying the call.
    int downStatus_ = 503; ///< 429 for a store that is over its rate limit.
    bool isSilent_ = false; ///< Neither answers nor applies calls.
    bool holdsLongPolls_ = false; ///< Does not answer reads that may wait, as on a connection that hangs.
    int answersToDrop_ = 0; ///< Number of appends to apply without an answer.
    bool refusesAppends_ = false; ///< Answers `downStatus_` to appends only.
};

/** A fake store. Not thread-safe; to be used on the thread of its event loop only. */
class PlatformStore {
public:
    /** Binds a free port on the loopback interface. */
    explicit PlatformStore(asio::io_context& io);
    ~PlatformStore();

    std::uint16_t port() const;
    /** Serves the same records at another port, with each value of a topic as `view` returns it. Returns the
     * port. */
    using View = std::function<std::string(const std::string& topic, const std::string& value)>;
    std::uint16_t addView(View view);
    StoreFaults& faults();
    /** Faults that only calls to one port see, in addition. Precondition: `port` is one of the store's. */
    StoreFaults& faultsAt(std::uint16_t port);
    /** Writes a record like the operator or a target. An empty value deletes the key. */
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /** Drops all records of a topic except the newest of each key. */
    void compact(const std::string& topic);
    /** Does so for each topic. */
    void compactAll();
    /** The port at which the last append with a writer and a sequence number arrived; 0 if there was none. */
    std::uint16_t lastWriterPort() const;
    std::map<std::string, std::string> newest(const std::string& topic) const;
    /** Returns the newest records of all topics with this name prefix. */
    std::map<std::string, std::string> newestOfAll(const std::string& topicPrefix) const;
    std::uint64_t appends() const;
    /** Answers reads whose wait has timed out; to be called at regular intervals. */
    void tick(MonotonicTime now);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue::standin
