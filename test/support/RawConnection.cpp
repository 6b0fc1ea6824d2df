#include "RawConnection.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace fescue::test {

RawConnection::RawConnection(int port, int receiveBuffer, const std::string& host)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr timeval ioTimeout { 10, 0 };
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &ioTimeout, sizeof(ioTimeout));
    setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &ioTimeout, sizeof(ioTimeout));
    if (receiveBuffer > 0)
        setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    if (connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        close(socket_);
        throw std::runtime_error("cannot connect to port " + std::to_string(port));
    }
}

RawConnection::~RawConnection() { close(socket_); }

bool RawConnection::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        ssize_t more = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (more <= 0)
            return false;
        sent += static_cast<std::size_t>(more);
    }
    return true;
}

std::string RawConnection::readUntil(const std::string& mark)
{
    std::string text;
    std::array<char, 65536> buffer {};
    while (mark.empty() || text.find(mark) == std::string::npos) {
        ssize_t size = recv(socket_, buffer.data(), buffer.size(), 0);
        if (size < 0 && errno == ECONNRESET) {
            wasReset_ = true;
            return text;
        }
        if (size < 0)
            throw std::runtime_error("timed out waiting for the server to respond or close the connection");
        if (size == 0)
            break;
        text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
}

} // namespace fescue::test
