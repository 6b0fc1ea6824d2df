#include "Client.h"

#include "HttpWire.h"
#include "RawConnection.h"

#include <chrono>
#include <fmt/format.h>
#include <stdexcept>
#include <thread>

namespace fescue::review {

namespace {

    std::string requestText(const std::string& method, const std::string& path, const std::string& headers,
        const std::string& body)
    {
        return fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n{}{}\r\n{}", method,
            path, headers,
            method == "GET" ? std::string() : fmt::format("Content-Length: {}\r\n", body.size()), body);
    }

} // namespace

ClientAnswer sendRequest(int port, const std::string& method, const std::string& path,
    const std::string& headers, const std::string& body)
{
    ClientAnswer answer;
    std::string bytes;
    bool wasReset = false;
    try {
        test::RawConnection connection(port);
        connection.send(requestText(method, path, headers, body));
        bytes = connection.readAll();
        wasReset = connection.wasReset();
    } catch (const std::runtime_error&) {
        return answer; // Refused, or silent for ten seconds.
    }
    HttpReader reader(HttpReader::Side::Responses, HttpLimits { 64 * 1024, 64 * 1024 * 1024 });
    std::size_t used = reader.feed(bytes);
    if (!reader.hasHead())
        return answer;
    answer.status_ = reader.head().status_;
    answer.head_ = toText(reader.head());
    while (!reader.isComplete() && !reader.error() && used < bytes.size())
        used += reader.feed(std::string_view(bytes).substr(used));
    answer.body_ = reader.takeBody();
    answer.isComplete_ = reader.isComplete() && !wasReset;
    return answer;
}

void sendAndLeave(int port, const std::string& method, const std::string& path, const std::string& headers,
    const std::string& body, int leaveAfterMs)
{
    try {
        test::RawConnection connection(port);
        connection.send(requestText(method, path, headers, body));
        std::this_thread::sleep_for(std::chrono::milliseconds(leaveAfterMs));
    } catch (const std::runtime_error&) {
        return; // The machine does not accept channels.
    }
}

int countOf(const std::string& text, const std::string& part)
{
    int count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
        ++count;
    return count;
}

} // namespace fescue::review
