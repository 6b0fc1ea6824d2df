#pragma once

/** \file
 * RequestTable: the callers' requests that a scheduler has not fully answered yet.
 *
 * Each has the link it came on and how much of its answer has been sent. An answer is a head, chunks and
 * an end; a problem that comes after the head is sent as an event that is visible as an error, so that a
 * cut answer never looks whole. All functions are safe from any thread.
 */

#include "FrameLink.h"
#include "Shard.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace fescue {

/** Remembers open requests and writes their answers. */
class RequestTable {
public:
    /** Enters a request; its number is unique in this process. */
    RequestId add(FrameLinkPtr link, RequestFrame frame, bool wantsStream);

    /** The request as it came; null once it has its whole answer. */
    std::shared_ptr<const RequestFrame> find(RequestId request) const;

    /** Sends events of a running answer; starts the answer when it has not begun. Ignored for requests that
     * want their answer whole. */
    void sendEvents(RequestId request, const std::string& events, CallNumber durableCall);

    /** Ends the answer with a finished call's outcome. */
    void sendOutcome(RequestId request, const Outcome& outcome, CallNumber durableCall);

    /** Ends the answer with a problem. */
    void sendProblem(RequestId request, const Problem& problem);

    /** Answers with a document of our own. */
    void sendDocument(RequestId request, int status, const std::string& json);

    /** Tells the gateway to ask another VM. */
    void sendMoved(RequestId request, const VmId& to);

    /** Forgets the links of a closed connection; running calls go on for their repeats. */
    void detachLink(const FrameLinkPtr& link);

    /** How many requests are open. */
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
