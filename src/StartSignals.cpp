#include "StartSignals.h"

#include <csignal>

namespace fescue {

namespace {

    sigset_t heldSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGHUP);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        return signals;
    }

} // namespace

void holdSignals()
{
    sigset_t signals = heldSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void ignoreWriteSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
    std::signal(SIGTTOU, SIG_IGN);
}

void deliverSignals()
{
    sigset_t signals = heldSignals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

bool isStopHeld()
{
    sigset_t pending;
    sigemptyset(&pending);
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

} // namespace fescue
