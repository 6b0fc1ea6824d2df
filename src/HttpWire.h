#pragma once

/** \file
 * HttpWire: HTTP/1.1 messages as an entry VM reads them from callers, targets and the platform.
 *
 * The parser of the library (http_parser) accepts more than may be passed on: folded header lines, blanks
 * before a colon, lines that end in a bare LF. A second reader of such a message can see other boundaries
 * than the first one, so each head is checked here before the parser sees it.
 */

#include "Types.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue {

/** One header line. */
struct HttpHeader {
    std::string name_; ///< As it was sent.
    std::string value_;
};

/** The head of a request or a response. */
struct HttpHead {
    std::string method_; ///< Of a request.
    std::string target_; ///< Path and query of a request, as sent.
    int status_ = 0; ///< Of a response.
    std::string reason_; ///< Of a response.
    std::vector<HttpHeader> headers_;
    bool keepsAlive_ = true; ///< Whether the connection may carry another message afterwards.
    bool isHttp11_ = true;
};

/** Whether two header names are the same. Pure. */
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/** First value of a header; nothing when it is absent. Pure. */
const std::string* findHeader(const HttpHead& head, std::string_view name);

/** How often a header stands in a head. Pure. */
std::size_t countHeader(const HttpHead& head, std::string_view name);

/** Whether a header concerns one connection only and must not be passed on. Pure. */
bool isHopByHop(const HttpHead& head, const HttpHeader& header);

/** Path of a request without its query. Pure. */
std::string_view pathOf(const HttpHead& head);

/** Why a message cannot be read. */
enum class HttpParseError {
    BadHead, ///< Syntax or framing that is not unambiguous.
    HeadTooLarge,
    BodyTooLarge,
    BadBody, ///< Chunks that are not well-formed.
};

/** Checks the raw head of a message, up to and with its blank line. Pure. */
std::optional<HttpParseError> checkRawHead(std::string_view raw);

/** Bounds of one message. */
struct HttpLimits {
    std::size_t head_ = 16 * 1024; ///< Bytes, with the first line.
    std::size_t body_ = 8 * 1024 * 1024; ///< Bytes after decoding.
};

/** Reads messages from a byte stream, one at a time. Not safe from several threads.
 *
 *     std::size_t used = reader.feed(bytes);   // stops behind the end of a message
 *     if (reader.hasHead()) ... reader.head(), reader.takeBody()
 *     if (reader.isComplete()) reader.next();
 */
class HttpReader {
public:
    enum class Side { Requests, Responses };

    HttpReader(Side side, const HttpLimits& limits);
    ~HttpReader();
    HttpReader(HttpReader&&) noexcept;
    HttpReader& operator=(HttpReader&&) noexcept;

    void setLimits(const HttpLimits& limits);
    /** The next response has no body, whatever its head says (HEAD). */
    void expectNoBody();
    /** Takes bytes and returns how many belong to the current message. */
    std::size_t feed(std::string_view bytes);
    /** The peer has ended its direction. A response without a length is complete then. */
    void feedEof();
    /** Forgets the complete message and waits for the next one. */
    void next();

    /** Whether any byte of the current message has been seen. */
    bool hasStarted() const;
    bool hasHead() const;
    bool isComplete() const;
    /** Whether the message says how long its body is, by a length or by chunks. Precondition: `hasHead()`. */
    bool isDelimited() const;
    std::optional<HttpParseError> error() const;
    /** Precondition: `hasHead()`. */
    const HttpHead& head() const;
    /** Body bytes that came since the last call. */
    std::string takeBody();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** The text of a request or response head, with its blank line. Pure. */
std::string toText(const HttpHead& head);

/** A chunk of a chunked body. Pure. */
std::string toChunk(std::string_view data);

/** Standard reason of a status. Pure. */
const char* reasonOf(int status);

} // namespace fescue
