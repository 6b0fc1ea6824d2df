#pragma once

/** \file
 * TurnContinuation: puts the earlier turns of a conversation before the input of a turn, and keeps the turn
 * once it has been answered.
 *
 *     turn --> find the turn that it names --> prompt = earlier inputs and outputs + new input --> target
 *     answer --> events passed on as they come --> turn kept --> end of the response passed on
 *
 * A caller may continue from a turn as soon as its response has ended, so the end waits until the turn is
 * kept.
 */

#include "ConversationStore.h"
#include "ForwardedCall.h"

#include <functional>

namespace fescue {

/** Continues conversations. Confined to the thread of the event loop. */
class TurnContinuation {
public:
    using OnReady = std::function<void(ForwardedCall)>;

    /** Precondition: `conversations` outlives this object and all calls. */
    explicit TurnContinuation(ConversationStore& conversations);

    /** Completes a turn and passes it to `ready`, possibly before this returns; or refuses it, with 404 only
     * if the turn that it names certainly does not exist. Precondition: the route keeps turns. */
    void begin(ForwardedCall call, std::size_t maxBodyBytes, OnReady ready);

private:
    void complete(ForwardedCall call, const TurnChain& chain, std::size_t maxBodyBytes, const OnReady& ready);

    ConversationStore& conversations_;
};

} // namespace fescue
