#pragma once

/** \file
 * TurnAdmission: lets a turn of a program pass once its tokens have been granted, and refuses it otherwise.
 */

#include "CallForwarder.h"
#include "ProgramAdmission.h"
#include "TurnBroker.h"

#include <memory>

namespace fescue {

/** Admits turns. Confined to the thread of the event loop. */
class TurnAdmission {
public:
    /** Precondition: the arguments outlive this object. */
    TurnAdmission(TurnBroker& broker, CallForwarder& forwarder, const StoreHealth& health, Random& random);
    ~TurnAdmission();

    /** Requests the tokens of a turn, and forwards or refuses it. Precondition: the call has a program and
     * its budget. */
    void admit(ForwardedCall call);
    /** Learns which services programs call. */
    void recordToolCall(const ForwardedCall& call);
    /** Refuses turns past their deadline. To be called periodically. */
    void tick(MonotonicTime now);
    /** Turns that wait for a decision. */
    std::size_t waitingCount() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
