#pragma once

/** \file
 * OddStore: a store that answers what the platform's store never would.
 */

#include "FrontServer.h"

#include <functional>
#include <string>

namespace fescue::test {

inline constexpr int ok = 200;

/** What the store answers. */
struct Answer {
    int status_ = ok;
    std::string body_;
};

/** Answers each call, a request target, by a script that knows its number from 1. Counts calls. To be used on
 * the thread of the event loop. */
class OddStore {
public:
    using Script = std::function<Answer(const std::string& call, int number)>;

    OddStore(asio::io_context& io, Script script)
        : script_(std::move(script))
        , server_(
              io, "127.0.0.1:0",
              [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
                  Answer answer = script_(request.head_.target_, ++calls_);
                  HttpHead head;
                  head.status_ = answer.status_;
                  reply->answer(std::move(head), answer.body_);
              },
              [](int, const char*, const HttpHead*) {})
    {
    }
    asio::ip::tcp::endpoint address() const { return { asio::ip::address_v4::loopback(), server_.port() }; }
    int calls() const { return calls_; }

private:
    Script script_;
    int calls_ = 0;
    FrontServer server_;
};

} // namespace fescue::test
