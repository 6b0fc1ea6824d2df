#pragma once

/** \file
 * RequestTable: the callers' requests that a scheduler has not fully answered yet.
 *
 * Each entry has the link that the request came from and the number of chunks sent. An answer consists of a
 * head, chunks and an end. A problem that occurs after the head is sent as an SSE error event, so that a
 * client cannot mistake a truncated answer for a complete one. Thread-safe.
 */

#include "FrameLink.h"
#include "Shard.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace fescue {

/** Stores open requests and writes their answers. */
class RequestTable {
public:
    /** Adds a request. The returned id is unique in this process. */
    RequestId add(FrameLinkPtr link, RequestFrame frame, bool wantsStream);

    /** The request as received; null once it is fully answered. */
    std::shared_ptr<const RequestFrame> find(RequestId request) const;

    /** Sends events of a streamed answer, after the head if it has not been sent yet. Ignored for requests
     * that did not ask for a stream. */
    void sendEvents(RequestId request, const std::string& events, CallNumber durableCall);

    /** Completes the answer with the outcome of a finished call. */
    void sendOutcome(RequestId request, const Outcome& outcome, CallNumber durableCall);

    /** Completes the answer with a problem. */
    void sendProblem(RequestId request, const Problem& problem);

    /** Answers with a JSON document of the scheduler. */
    void sendDocument(RequestId request, int status, const std::string& json);

    /** Redirects the gateway to another VM. */
    void sendMoved(RequestId request, const VmId& to);

    /** Drops references to a closed link. Running calls continue, so that retries can attach to them. */
    void detachLink(const FrameLinkPtr& link);

    /** Number of open requests. */
    std::size_t size() const;

private:
    struct Entry {
        FrameLinkPtr link_;
        std::shared_ptr<const RequestFrame> frame_;
        bool wantsStream_ = false;
        bool hasStarted_ = false;
        std::uint64_t nextChunk_ = 0;
    };

    std::shared_ptr<Entry> take(RequestId request);

    mutable std::mutex mutex_;
    std::unordered_map<std::uint64_t, std::shared_ptr<Entry>> entries_;
    std::uint64_t lastId_ = 0;
};

} // namespace fescue
