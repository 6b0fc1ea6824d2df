#include "HttpWire.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <http_parser.h>
#include <strings.h>

namespace fescue {

namespace {

    bool isTokenChar(char c)
    {
        constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
        bool isAlphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
        return isAlphanumeric || marks.find(c) != std::string_view::npos;
    }

    bool isDigit(char c) { return c >= '0' && c <= '9'; }

    bool isFieldChar(char c)
    {
        auto byte = static_cast<unsigned char>(c);
        return c == '\t' || (byte >= ' ' && byte != 0x7f);
    }

    bool isHeaderLine(std::string_view line)
    {
        std::size_t colon = line.find(':');
        if (colon == 0 || colon == std::string_view::npos)
            return false;
        return std::all_of(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon), isTokenChar);
    }

    std::string_view firstLineOf(std::string_view head) { return head.substr(0, head.find('\r')); }

    // Whether a line starts a response that can be interpreted. http_parser takes any number for a status.
    bool isStatusLine(std::string_view line)
    {
        constexpr std::string_view versionPrefix = "HTTP/1.";
        constexpr std::size_t statusAt = versionPrefix.size() + 2; // After the minor version and a space.
        constexpr std::size_t statusSize = 3;
        constexpr std::size_t statusEnd = statusAt + statusSize;
        if (line.size() < statusEnd || line.substr(0, versionPrefix.size()) != versionPrefix
            || !isDigit(line[versionPrefix.size()]) || line[statusAt - 1] != ' ')
            return false;
        std::string_view status = line.substr(statusAt, statusSize);
        // RFC 9110, section 15: other statuses than 100 to 599 are invalid.
        bool isInRange = status[0] >= '1' && status[0] <= '5';
        return isInRange && std::all_of(status.begin(), status.end(), isDigit)
            && (line.size() == statusEnd || line[statusEnd] == ' ');
    }

    std::string_view trimmed(std::string_view text)
    {
        constexpr std::string_view blanks = " \t";
        std::size_t first = text.find_first_not_of(blanks);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(blanks) - first + 1);
    }

    // Calls `visit` for the members of a comma-separated list until it returns true.
    template <typename Visit> bool anyMember(std::string_view list, const Visit& visit)
    {
        while (true) {
            std::size_t comma = list.find(',');
            if (visit(trimmed(list.substr(0, comma))))
                return true;
            if (comma == std::string_view::npos)
                return false;
            list.remove_prefix(comma + 1);
        }
    }

    bool hasInvalidFraming(const HttpHead& head)
    {
        std::size_t lengths = countHeader(head, "Content-Length");
        std::size_t encodings = countHeader(head, "Transfer-Encoding");
        if (lengths > 1 || encodings > 1 || (lengths == 1 && encodings == 1))
            return true;
        const std::string* encoding = findHeader(head, "Transfer-Encoding");
        if (encoding && !equalsIgnoreCase(*encoding, "chunked"))
            return true;
        const std::string* length = findHeader(head, "Content-Length");
        return length && (length->empty() || !std::all_of(length->begin(), length->end(), isDigit));
    }

} // namespace

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string* findHeader(const HttpHead& head, std::string_view name)
{
    for (const HttpHeader& header : head.headers_) {
        if (equalsIgnoreCase(header.name_, name))
            return &header.value_;
    }
    return nullptr;
}

std::size_t countHeader(const HttpHead& head, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(head.headers_.begin(), head.headers_.end(),
        [name](const HttpHeader& header) { return equalsIgnoreCase(header.name_, name); }));
}

bool isHopByHop(const HttpHead& head, const HttpHeader& header)
{
    static constexpr std::array<std::string_view, 10> names { "Connection", "Keep-Alive",
        "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding",
        "Upgrade", "Content-Length" };
    for (std::string_view name : names) {
        if (equalsIgnoreCase(header.name_, name))
            return true;
    }
    const std::string* connection = findHeader(head, "Connection");
    return connection && anyMember(*connection, [&](std::string_view member) {
        return equalsIgnoreCase(member, header.name_);
    });
}

std::optional<Milliseconds> announcedIdleTimeout(const HttpHead& head)
{
    const std::string* value = findHeader(head, "Keep-Alive");
    if (!value)
        return std::nullopt;
    constexpr std::string_view key = "timeout=";
    std::size_t at = value->find(key);
    const char* from = value->data() + (at == std::string::npos ? 0 : at + key.size());
    std::int64_t seconds = 0;
    if (std::from_chars(from, value->data() + value->size(), seconds).ec != std::errc())
        return std::nullopt;
    constexpr int msPerSecond = 1000;
    return Milliseconds { seconds * msPerSecond };
}

std::string_view pathOf(const HttpHead& head)
{
    std::string_view target = head.target_;
    return target.substr(0, target.find('?'));
}

std::optional<HttpParseError> checkRawHead(std::string_view raw)
{
    bool isFirst = true;
    while (!raw.empty()) {
        std::size_t end = raw.find('\n');
        if (end == std::string_view::npos || end == 0 || raw[end - 1] != '\r')
            return HttpParseError::BadHead;
        std::string_view line = raw.substr(0, end - 1);
        raw.remove_prefix(end + 1);
        if (line.empty())
            return isFirst || !raw.empty() ? std::optional(HttpParseError::BadHead) : std::nullopt;
        if (!std::all_of(line.begin(), line.end(), isFieldChar) || (!isFirst && !isHeaderLine(line)))
            return HttpParseError::BadHead;
        isFirst = false;
    }
    return HttpParseError::BadHead;
}

struct HttpReader::Impl {
    Side side_;
    HttpLimits limits_;
    http_parser parser_ {};
    std::string rawHead_; ///< Bytes of an incomplete head.
    HttpHead head_;
    std::string body_;
    std::size_t bodyBytes_ = 0;
    bool hasHead_ = false;
    bool isComplete_ = false;
    bool expectsNoBody_ = false;
    bool wasValueLast_ = false;
    std::optional<HttpParseError> error_;

    Impl(Side side, const HttpLimits& limits)
        : side_(side)
        , limits_(limits)
    {
        reset();
    }

    void reset()
    {
        http_parser_init(&parser_, side_ == Side::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
        parser_.data = this;
        rawHead_.clear();
        head_ = {};
        body_.clear();
        bodyBytes_ = 0;
        hasHead_ = false;
        isComplete_ = false;
        expectsNoBody_ = false;
        wasValueLast_ = false;
        error_.reset();
    }

    static Impl& of(http_parser* parser) { return *static_cast<Impl*>(parser->data); }

    static int onField(http_parser* parser, const char* data, std::size_t size)
    {
        Impl& self = of(parser);
        if (self.hasHead_)
            return 0; // Trailers are hop-by-hop here and are dropped.
        if (self.wasValueLast_ || self.head_.headers_.empty())
            self.head_.headers_.push_back({});
        self.wasValueLast_ = false;
        self.head_.headers_.back().name_.append(data, size);
        return 0;
    }

    static int onValue(http_parser* parser, const char* data, std::size_t size)
    {
        Impl& self = of(parser);
        if (self.hasHead_ || self.head_.headers_.empty())
            return 0;
        self.wasValueLast_ = true;
        self.head_.headers_.back().value_.append(data, size);
        return 0;
    }

    static int onUrl(http_parser* parser, const char* data, std::size_t size)
    {
        of(parser).head_.target_.append(data, size);
        return 0;
    }

    static int onReason(http_parser* parser, const char* data, std::size_t size)
    {
        of(parser).head_.reason_.append(data, size);
        return 0;
    }

    static int onHead(http_parser* parser)
    {
        Impl& self = of(parser);
        HttpHead& head = self.head_;
        if (self.side_ == Side::Requests)
            head.method_ = http_method_str(static_cast<http_method>(parser->method));
        head.status_ = static_cast<int>(parser->status_code);
        head.isHttp11_ = parser->http_major == 1 && parser->http_minor >= 1;
        for (HttpHeader& header : head.headers_)
            header.value_ = std::string(trimmed(header.value_));
        head.keepsAlive_ = http_should_keep_alive(parser) != 0;
        self.hasHead_ = true;
        constexpr int noBody = 1;
        constexpr int refuse = -1;
        if (hasInvalidFraming(head))
            return refuse;
        const std::string* length = findHeader(head, "Content-Length");
        constexpr std::size_t maxDigits = 15;
        if (length && (length->size() > maxDigits || std::stoull(*length) > self.limits_.maxBodyBytes_)) {
            self.error_ = HttpParseError::BodyTooLarge;
            return refuse;
        }
        bool hasNoBody = self.expectsNoBody_ || (head.status_ >= 100 && head.status_ < 200)
            || head.status_ == 204 || head.status_ == 304;
        bool isDelimited = self.side_ == Side::Requests || hasNoBody || length
            || findHeader(head, "Transfer-Encoding") != nullptr;
        head.framing_ = isDelimited ? BodyFraming::Delimited : BodyFraming::UntilClose;
        return self.expectsNoBody_ ? noBody : 0;
    }

    static int onBody(http_parser* parser, const char* data, std::size_t size)
    {
        Impl& self = of(parser);
        self.bodyBytes_ += size;
        if (self.bodyBytes_ > self.limits_.maxBodyBytes_) {
            self.error_ = HttpParseError::BodyTooLarge;
            return -1;
        }
        self.body_.append(data, size);
        return 0;
    }

    static int onComplete(http_parser* parser)
    {
        of(parser).isComplete_ = true;
        http_parser_pause(parser, 1);
        return 0;
    }

    std::size_t execute(std::string_view bytes)
    {
        static const http_parser_settings settings = [] {
            http_parser_settings made {};
            made.on_url = onUrl;
            made.on_status = onReason;
            made.on_header_field = onField;
            made.on_header_value = onValue;
            made.on_headers_complete = onHead;
            made.on_body = onBody;
            made.on_message_complete = onComplete;
            return made;
        }();
        std::size_t used = http_parser_execute(&parser_, &settings, bytes.data(), bytes.size());
        auto error = HTTP_PARSER_ERRNO(&parser_);
        if (error == HPE_PAUSED) {
            http_parser_pause(&parser_, 0);
            return used;
        }
        if (error != HPE_OK && !error_)
            error_ = hasHead_ && bodyBytes_ + body_.size() > 0 ? HttpParseError::BadBody
                                                               : HttpParseError::BadHead;
        if (parser_.upgrade && !error_)
            error_ = HttpParseError::BadHead;
        return used;
    }

    // Buffers the head and parses it once it is complete. Returns how many of `bytes` belong to it.
    std::size_t bufferHead(std::string_view bytes)
    {
        constexpr std::string_view blankLine = "\r\n\r\n";
        std::size_t known = rawHead_.size();
        rawHead_.append(bytes.substr(0, limits_.maxHeadBytes_ + 1 - std::min(known, limits_.maxHeadBytes_)));
        std::size_t from = known < blankLine.size() ? 0 : known - blankLine.size();
        std::size_t end = rawHead_.find(blankLine, from);
        if (end == std::string::npos) {
            if (rawHead_.size() > limits_.maxHeadBytes_)
                error_ = HttpParseError::HeadTooLarge;
            else if (rawHead_.find("\n\n", from > 0 ? from - 1 : 0) != std::string::npos)
                error_ = HttpParseError::BadHead;
            return bytes.size();
        }
        rawHead_.resize(end + blankLine.size());
        std::size_t used = rawHead_.size() - known;
        if (rawHead_.size() > limits_.maxHeadBytes_)
            error_ = HttpParseError::HeadTooLarge;
        else if (side_ == Side::Responses && !isStatusLine(firstLineOf(rawHead_)))
            error_ = HttpParseError::BadHead;
        else
            error_ = checkRawHead(rawHead_);
        if (!error_)
            parseHead();
        return used;
    }

    void parseHead()
    {
        std::string raw = std::move(rawHead_);
        rawHead_.clear();
        execute(raw);
    }
};

HttpReader::HttpReader(Side side, const HttpLimits& limits)
    : impl_(std::make_unique<Impl>(side, limits))
{
}
HttpReader::~HttpReader() = default;
HttpReader::HttpReader(HttpReader&&) noexcept = default;
HttpReader& HttpReader::operator=(HttpReader&&) noexcept = default;

void HttpReader::setLimits(const HttpLimits& limits) { impl_->limits_ = limits; }

void HttpReader::expectNoBody() { impl_->expectsNoBody_ = true; }

std::size_t HttpReader::feed(std::string_view bytes)
{
    Impl& self = *impl_;
    std::size_t used = 0;
    // Empty lines before a message are allowed (RFC 9112, section 2.2) and skipped.
    while (!self.hasHead_ && self.rawHead_.empty() && used < bytes.size()
        && (bytes[used] == '\r' || bytes[used] == '\n'))
        ++used;
    if (!self.hasHead_ && !self.error_ && used < bytes.size()) {
        std::size_t of = self.bufferHead(bytes.substr(used));
        used += of;
        if (!self.hasHead_ && !self.error_)
            return bytes.size();
    }
    while (self.hasHead_ && !self.isComplete_ && !self.error_ && used < bytes.size())
        used += std::max<std::size_t>(1, self.execute(bytes.substr(used)));
    return std::min(used, bytes.size());
}

void HttpReader::feedEof()
{
    if (!impl_->isComplete_ && !impl_->error_ && impl_->hasHead_
        && impl_->head_.framing_ == BodyFraming::UntilClose)
        impl_->isComplete_ = true;
}

void HttpReader::next() { impl_->reset(); }

bool HttpReader::hasStarted() const { return impl_->hasHead_ || !impl_->rawHead_.empty(); }
bool HttpReader::hasHead() const { return impl_->hasHead_ && !impl_->error_; }
bool HttpReader::isComplete() const { return impl_->isComplete_ && !impl_->error_; }
std::optional<HttpParseError> HttpReader::error() const { return impl_->error_; }
const HttpHead& HttpReader::head() const { return impl_->head_; }

std::string HttpReader::takeBody()
{
    std::string body = std::move(impl_->body_);
    impl_->body_.clear();
    return body;
}

std::string toText(const HttpHead& head)
{
    std::string text = head.method_.empty() ? fmt::format("HTTP/1.1 {} {}\r\n", head.status_,
                           head.reason_.empty() ? reasonPhraseOf(head.status_) : head.reason_)
                                            : fmt::format("{} {} HTTP/1.1\r\n", head.method_, head.target_);
    for (const HttpHeader& header : head.headers_)
        text.append(header.name_).append(": ").append(header.value_).append("\r\n");
    return text.append("\r\n");
}

std::string toChunk(std::string_view data)
{
    return data.empty() ? std::string() : fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

const char* nameOf(BodyFraming framing)
{
    return framing == BodyFraming::UntilClose ? "until-close" : "delimited";
}

const char* reasonPhraseOf(int status) { return http_status_str(static_cast<http_status>(status)); }

} // namespace fescue
