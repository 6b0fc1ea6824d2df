#include "PeerProtocol.h"

#include "Release.h"

#include <algorithm>
#include <charconv>

namespace fescue {

namespace {

    constexpr const char* protocolHeader = "Fescue-Protocol";
    constexpr const char* releaseHeader = "Fescue-Release";
    constexpr int httpNotFound = 404;

} // namespace

bool isUnknownMessage(int status) { return status == httpNotFound; }

void addProtocol(HttpHead& head)
{
    head.headers_.push_back({ protocolHeader, std::to_string(ownPeerProtocol.version_) });
}

void addRelease(HttpHead& head) { head.headers_.push_back({ releaseHeader, releaseName() }); }

std::string releaseOf(const HttpHead& head)
{
    const std::string* value = findHeader(head, releaseHeader);
    return value ? *value : std::string();
}

PeerProtocol protocolOf(const HttpHead& head)
{
    PeerProtocol protocol;
    if (const std::string* value = findHeader(head, protocolHeader))
        std::from_chars(value->data(), value->data() + value->size(), protocol.version_);
    return protocol;
}

bool understands(PeerProtocol protocol, PeerFeature feature)
{
    return protocol.version_ >= static_cast<std::uint32_t>(feature);
}

} // namespace fescue
