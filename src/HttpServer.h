#pragma once

/** \file
 * HttpServer: a multi-threaded HTTP server on RESTinio. Only HttpServer.cpp includes RESTinio.
 *
 * The handler receives each request with an `HttpExchange`. It may keep the exchange and respond later from
 * any thread, with a whole body or in chunks.
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

/** A received request. Header names are in lower case. */
struct HttpRequest {
    std::string method_;
    std::string path_; ///< Without the query.
    std::string query_;
    std::map<std::string, std::string> headers_;
    std::string body_;
};

/** Value of a header; empty when it is absent. Pure. */
std::string headerOf(const HttpRequest& request, const std::string& lowerCaseName);

/** Unescaped value of a query parameter; empty when it is absent or the query is malformed. Pure. */
std::string queryOf(const HttpRequest& request, const std::string& name);

/** A whole response, or the head of a chunked one. */
struct HttpResponse {
    int status_ = 200;
    std::string contentType_;
    std::string body_;
    std::vector<std::pair<std::string, std::string>> headers_;
};

/** Sends the response to one request. Thread-safe. Each exchange is answered once. It may be kept and used
 * for longer than its server: then nothing is sent, and `write` refuses. */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    /** Sends a whole response. */
    virtual void answer(HttpResponse response) = 0;
    /** Starts a chunked response; the body of `head` is its first chunk. */
    virtual void begin(HttpResponse head) = 0;
    /** Adds a chunk. Returns false when the caller has disconnected or reads too slowly; further chunks are
     * then refused. */
    virtual bool write(std::string chunk) = 0;
    /** Ends a chunked response with a last chunk, which is sent even if the reader is too slow for `write`.
     */
    virtual void abort(std::string lastChunk) = 0;
    /** Ends a chunked response. */
    virtual void end() = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(const HttpRequest&, HttpExchangePtr)>;

/** Address, threads and limits of a server. */
struct HttpServerOptions {
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0; ///< 0 takes a free port.
    std::size_t threads_ = 2;
    std::size_t maxConnections_ = 4096; ///< Further ones wait in the kernel's accept backlog.
    ByteCount maxBody_ { 8 * 1024 * 1024 };
    ByteCount maxBuffered_ { 4 * 1024 * 1024 }; ///< Bytes queued for one slow reader.
    Milliseconds readTimeout_ { 15000 }; ///< For receiving a complete request.
    Milliseconds writeTimeout_ { 30000 }; ///< For a caller that does not read its response.
};

/** A running server. The destructor stops it. */
class HttpServer {
public:
    /** Binds the address and starts to serve. Throws `std::system_error` when the address cannot be bound. */
    HttpServer(const HttpServerOptions& options, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** The bound port. Thread-safe. */
    std::uint16_t port() const;
    /** Stops accepting and joins the threads. May be called twice. */
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace fescue
