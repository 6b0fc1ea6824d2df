#pragma once

/** \file
 * Runner: a stand-in for a runner of the platform, whose requests are handled by the case.
 *
 * Requests for another instance are answered 421 and not passed on. All functions and callbacks run on the
 * thread of the stand-ins.
 */

#include "TcpLink.h"

#include "HttpWire.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fescue::review {

/** A request that a runner has received whole. */
struct RunnerRequest {
    HttpHead head_;
    std::string body_;
    std::string id_; ///< Of the client attempt.
    std::shared_ptr<TcpLink> link_; ///< Channel on which it came.
    std::shared_ptr<bool> isGone_; ///< Whether the other side has closed the channel.
};

/** A runner at a loopback port. */
class Runner {
public:
    using Handler = std::function<void(Runner&, const RunnerRequest&)>;

    Runner(asio::io_context& io, std::string instance, Handler handler);
    std::uint16_t port() const { return port_; }
    const std::string& instance() const { return instance_; }
    /** Calls `action` after a time. */
    void after(std::chrono::milliseconds time, std::function<void()> action);
    /** Resets all channels, and refuses new ones from now on. */
    void crash();

private:
    void accept();
    void serve(const std::shared_ptr<TcpLink>& link);
    void handle(const std::shared_ptr<TcpLink>& link, const std::shared_ptr<bool>& isGone, HttpHead head,
        std::string body);

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    std::string instance_;
    Handler handler_;
    std::uint16_t port_ = 0;
    std::vector<std::pair<std::weak_ptr<TcpLink>, std::shared_ptr<bool>>> channels_;
};

/** A header's value; empty if the request has none. */
std::string headerOf(const RunnerRequest& request, const std::string& name);

/** The head of a whole answer with the runner's stamp; `headers` are lines that each end in CRLF. */
std::string answerHead(const RunnerRequest& request, int status, const std::string& headers);

/** A whole answer with a length. */
std::string wholeAnswer(
    const RunnerRequest& request, const std::string& body, const std::string& headers = {});

/** The refusal of a runner that is full; the request has not run. */
std::string refusal(const RunnerRequest& request, const std::string& headers = {});

} // namespace fescue::review
