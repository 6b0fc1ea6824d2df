#include "HostErrors.h"

#include <cerrno>

namespace fescue {

// By their numbers: the category of the network library does not compare equal to `std::errc`.
bool mayPass(const std::error_code& error)
{
    switch (error.value()) {
    case EADDRINUSE:
    case EADDRNOTAVAIL:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
        return true;
    default:
        return false;
    }
}

} // namespace fescue
