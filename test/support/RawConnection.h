#pragma once

/** \file
 * RawConnection: a TCP connection to a server under test, for requests that an HTTP library would not send.
 */

#include <string>

namespace fescue::test {

/** Sends and receives bytes. Reads and writes time out after ten seconds. */
class RawConnection {
public:
    /** Connects to `host`, an IPv4 address. `receiveBuffer` sets the size of the socket's receive buffer; 0
     * leaves the default. */
    explicit RawConnection(int port, int receiveBuffer = 0, const std::string& host = "127.0.0.1");
    ~RawConnection();
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    /** Sends all bytes. Returns false when the server has closed the connection or the write timed out. */
    bool send(const std::string& bytes);
    /** Reads until `mark` has been received or the server closes or resets the connection. Returns everything
     * that this call has read. Throws when nothing arrives within the timeout. */
    std::string readUntil(const std::string& mark);
    /** Reads until the server closes the connection. */
    std::string readAll() { return readUntil({}); }
    /** Whether the server has reset the connection, as far as it was read. */
    bool wasReset() const { return wasReset_; }

private:
    int socket_ = -1;
    bool wasReset_ = false;
};

} // namespace fescue::test
