#pragma once

/** \file
 * PlatformStore: a stand-in for the platform's store, in memory, with the troubles that tests ask for.
 *
 * It keeps all records and serves appends, reads and the newest record of each key; it has no groups, no
 * rates and no partitions that expire. What it cannot do is left out, so a test that needs it fails visibly.
 */

#include "FrontServer.h"
#include "OutboundPool.h"

#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fescue::standin {

/** What goes wrong now. */
struct StoreTrouble {
    bool isDown_ = false; ///< Answers `downStatus_`, and does nothing.
    int downStatus_ = 503; ///< 429 for a store that has too many calls.
    bool isSilent_ = false; ///< Answers nothing, and does nothing.
    int losesAnswers_ = 0; ///< So many appends are done and not answered.
};

/** A store. Belongs to the thread of its event loop. */
class PlatformStore {
public:
    /** Binds a free port of this machine. */
    explicit PlatformStore(asio::io_context& io);
    ~PlatformStore();

    std::uint16_t port() const;
    StoreTrouble& trouble();
    /** Writes a record as the operator or a target would. An empty value removes the key. */
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /** Forgets the records before the end of a topic, but for the newest of each key. */
    void compact(const std::string& topic);
    std::map<std::string, std::string> newest(const std::string& topic) const;
    /** Newest records of all topics whose names begin so. */
    std::map<std::string, std::string> newestOfAll(const std::string& topicPrefix) const;
    std::uint64_t appends() const;
    /** Answers reads whose wait is over; to be called at a steady pace. */
    void tick(MonotonicTime now);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue::standin
