#pragma once

/** \file
 * RawConnection: a TCP connection to one of our servers, for requests that no HTTP library would send.
 */

#include <string>

namespace fescue::test {

/** Sends and receives bytes; reads give up after ten seconds. */
class RawConnection {
public:
    /** Connects to 127.0.0.1. `receiveBuffer` bounds what the kernel keeps for a slow reader; 0 leaves it. */
    explicit RawConnection(int port, int receiveBuffer = 0);
    ~RawConnection();
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    /** Sends as much as the server takes; returns false when it has closed. */
    bool send(const std::string& bytes);
    /** Reads until `mark` has come or the server closes or resets the connection; returns everything read by
     * this call. */
    std::string readUntil(const std::string& mark);
    /** Reads until the server closes. */
    std::string readAll() { return readUntil({}); }

private:
    int socket_ = -1;
};

} // namespace fescue::test
