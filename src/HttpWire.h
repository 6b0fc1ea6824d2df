#pragma once

/** \file
 * HttpWire: parses and serializes HTTP/1.1 messages between an entry VM and callers, targets and the
 * platform.
 *
 * http_parser accepts messages that must not be forwarded: folded header lines, whitespace before the colon
 * of a header, lines that end in a bare LF, and statuses such as 000. Two parsers may disagree about the
 * boundaries of such a message (request smuggling), so each head is validated here before http_parser parses
 * it.
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
    std::string name_; ///< In its original case.
    std::string value_;
};

/** What marks the end of a message's body. */
enum class BodyFraming {
    Delimited, ///< A length, chunks, or the absence of a body.
    UntilClose, ///< The end of the connection.
};

/** Name of a framing for logs. Pure. */
const char* nameOf(BodyFraming framing);

/** The head of a request or a response. */
struct HttpHead {
    std::string method_; ///< Only of a request.
    std::string target_; ///< Path and query of a request, not decoded.
    int status_ = 0; ///< Only of a response.
    std::string reason_; ///< Reason phrase of a response.
    std::vector<HttpHeader> headers_;
    bool keepsAlive_ = true; ///< Whether the connection may be reused for another message.
    bool isHttp11_ = true;
    BodyFraming framing_ = BodyFraming::Delimited;
};

/** Compares ASCII text without regard to case. Pure. */
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/** Value of the first header of that name; null when it is absent. Pure. */
const std::string* findHeader(const HttpHead& head, std::string_view name);

/** Number of headers of that name. Pure. */
std::size_t countHeader(const HttpHead& head, std::string_view name);

/** Whether a header is hop-by-hop and must not be forwarded. Pure. */
bool isHopByHop(const HttpHead& head, const HttpHeader& header);

/** Idle timeout that a peer announces in its Keep-Alive header; nothing if there is none. Pure. */
std::optional<Milliseconds> announcedIdleTimeout(const HttpHead& head);

/** Path of a request without its query. Pure. */
std::string_view pathOf(const HttpHead& head);

/** Why a message cannot be parsed. */
enum class HttpParseError {
    BadHead, ///< Invalid syntax, an invalid status or ambiguous framing.
    HeadTooLarge,
    BodyTooLarge,
    BadBody, ///< Malformed chunked encoding.
};

/** Validates the raw head of a message, up to and including its blank line. Pure. */
std::optional<HttpParseError> checkRawHead(std::string_view raw);

/** Size limits of one message. */
struct HttpLimits {
    std::size_t maxHeadBytes_ = 16 * 1024; ///< Including the start line.
    std::size_t maxBodyBytes_ = 8 * 1024 * 1024; ///< After removal of the chunked encoding.
};

/** Parses messages from a byte stream, one at a time. Not thread-safe.
 *
 *     std::size_t used = reader.feed(bytes);   // stops after the end of a message
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
    /** Tells the reader that the next response has no body, whatever its headers say (response to HEAD). */
    void expectNoBody();
    /** Parses bytes and returns how many of them belong to the current message. */
    std::size_t feed(std::string_view bytes);
    /** Tells the reader that the peer has closed its side, which completes a response without a length. */
    void feedEof();
    /** Resets the reader for the next message. */
    void next();

    /** Whether any byte of the current message has been received. */
    bool hasStarted() const;
    bool hasHead() const;
    bool isComplete() const;
    std::optional<HttpParseError> error() const;
    /** Precondition: `hasHead()`. */
    const HttpHead& head() const;
    /** Removes and returns the body bytes received since the last call. */
    std::string takeBody();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** Serializes the head of a request or response, including its blank line. Pure. */
std::string toText(const HttpHead& head);

/** Encodes a chunk of a chunked body. Pure. */
std::string toChunk(std::string_view data);

/** Standard reason phrase of a status. Pure. */
const char* reasonPhraseOf(int status);

} // namespace fescue
