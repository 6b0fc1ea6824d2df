#pragma once

/** \file
 * PacedStore: calls of this VM to the platform's store that share one rate limit.
 *
 * `StoreThrottle` decides when a call may start, and `StoreHealth` learns how it ended. Users that have calls
 * to make wait until `canCall`, and are notified when calls end.
 */

#include "StoreClient.h"
#include "StoreHealth.h"
#include "StoreThrottle.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fescue {

/** Calls the store. Not thread-safe; to be used on the thread of the event loop only. Callbacks are called as
 * `platform::StoreClient` does, after the outcome has been recorded. */
class PacedStore {
public:
    /** Precondition: `store` and `health` outlive this object. */
    PacedStore(platform::StoreClient& store, StoreHealth& health, std::uint64_t seed);
    ~PacedStore();

    /** Whether the throttle allows a call now. */
    bool canCall() const;
    /** Whether the latest calls show that the store does not serve this VM. */
    bool isFailing() const;
    /** Whether another VM can probably be served by the store sooner than this one. */
    bool isBetterAvoided() const;
    /** Whether a call should not be tried either: the store is failing, and it is not the time to probe it.
     */
    bool isUnusable() const;
    /** Whether a call has been served within this time, so that the store serves this VM, if slowly. */
    bool wasServedWithin(Milliseconds time) const;
    const StoreHealth& health() const;
    const StoreThrottle& throttle() const;

    /** Precondition, also of the reads: `canCall`. */
    void append(const platform::StorePartition& partition, const std::vector<platform::KeyedRecord>& records,
        const std::optional<platform::StoreWriter>& writer, const char* user,
        platform::OnStore<std::uint64_t> done);
    /** `user` names the caller in logs. */
    void readNewest(const platform::StorePartition& partition, const std::string& after, const char* user,
        platform::OnStore<platform::NewestPage> done);

    /** Reads records from an offset on, about `maxBytes` of them. */
    void readFrom(const platform::StorePartition& partition, std::uint64_t from, std::size_t maxBytes,
        const char* user, platform::OnStore<platform::RecordPage> done);

    /** Adds a callback that is called after each call has ended, since another one may start then.
     * Precondition: it is valid as long as this object makes calls. */
    void onCallEnded(std::function<void()> callback);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fescue
