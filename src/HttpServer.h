#pragma once

/** \file
 * HttpServer: the one place that includes RESTinio.
 *
 * A handler gets each request together with an `HttpExchange`, which it may keep and answer later from
 * any thread, whole or in chunks.
 *
 *     HttpServer server(options, [](const HttpRequest& request, HttpExchangePtr exchange) {
 *         exchange->answer({ 200, "text/plain", "hello\n" });
 *     });
 *     std::cout << server.port();
 */

#include "Types.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fescue {

/** A request as it arrived. Header names are in lower case. */
struct HttpRequest {
    std::string method_;
    std::string path_; ///< Without the query.
    std::string query_;
    std::map<std::string, std::string> headers_;
    std::string body_;
};

/** Value of a header, or the empty string. Pure. */
std::string headerOf(const HttpRequest& request, const std::string& lowerCaseName);

/** Value of a query parameter, unescaped, or the empty string. Pure. */
std::string queryOf(const HttpRequest& request, const std::string& name);

/** A whole response, or the head of a chunked one. */
struct HttpResponse {
    int status_ = 200;
    std::string contentType_;
    std::string body_;
    std::vector<std::pair<std::string, std::string>> headers_;
};

/** One request's side for the answer. Safe from any thread; each exchange is answered once. */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    /** Sends the whole answer. */
    virtual void answer(HttpResponse response) = 0;
    /** Starts a chunked answer; the body of `head` is its first chunk. */
    virtual void begin(HttpResponse head) = 0;
    /** Adds a chunk. Returns false when the caller is gone or reads too slowly; the answer is then over. */
    virtual bool write(std::string chunk) = 0;
    /** Ends a chunked answer with a last chunk that `write` may have refused for a slow reader. */
    virtual void abort(std::string lastChunk) = 0;
    /** Ends a chunked answer. */
    virtual void end() = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(const HttpRequest&, HttpExchangePtr)>;

/** Where to listen and what to accept. */
struct HttpServerOptions {
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0; ///< 0 takes a free port.
    std::size_t threads_ = 2;
    std::size_t maxConnections_ = 4096; ///< More wait in the backlog of the system.
    ByteCount maxBody_ { 8 * 1024 * 1024 };
    ByteCount maxBuffered_ { 4 * 1024 * 1024 }; ///< Most bytes waiting for a slow reader.
    Milliseconds readTimeout_ { 15000 }; ///< A half-sent request is closed after this time.
    Milliseconds writeTimeout_ { 30000 }; ///< A reader that takes nothing for this long is closed.
};

/** A running server; stops when it is destroyed. */
class HttpServer {
public:
    /** Binds and starts. Throws `std::system_error` when the address cannot be bound. */
    HttpServer(const HttpServerOptions& options, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** The port that is bound. Safe from any thread. */
    std::uint16_t port() const;
    /** Stops accepting and waits until the threads are done. Safe to call twice. */
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
