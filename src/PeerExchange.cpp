#include "PeerExchange.h"

#include "EventLog.h"
#include "PeerProtocol.h"
#include "TcpLink.h"

#include <map>

namespace fescue {

namespace {

    constexpr int httpBadRequest = 400;
    constexpr int httpNotFound = 404;
    constexpr Milliseconds peerConnectTimeout { 150 };

    template <typename Value>
    void dropAbsent(std::map<VmId, Value>& values, const std::map<VmId, PeerEntry>& peers)
    {
        for (auto value = values.begin(); value != values.end();)
            value = peers.count(value->first) ? std::next(value) : values.erase(value);
    }

} // namespace

struct PeerExchange::Impl {
    OutboundPool outbound_;
    PeerList peers_;
    std::unique_ptr<FrontServer> server_;
    std::map<std::string, Handler> handlers_; ///< By path.
    std::map<VmId, std::string> releases_; ///< As VMs have named them last.

    Impl(asio::io_context& io, const VmId& own, const std::string& address)
        : outbound_(io)
    {
        peers_.own_ = own;
        if (address.empty())
            return;
        server_ = std::make_unique<FrontServer>(
            io, address,
            [this](const FrontRequest& request, std::shared_ptr<FrontReply> reply) {
                handleRequest(request, std::move(reply));
            },
            [](int status, const char* reason, const HttpHead*) {
                logWarning("peer-request-refused", reason, { { "status", std::to_string(status) } });
            });
    }

    // Replies to relayed requests name none, since older releases would pass it on to callers.
    void readRelease(const VmId& vm, const HttpHead& reply)
    {
        std::string release = releaseOf(reply);
        if (release.empty())
            return;
        std::string& known = releases_[vm];
        if (known == release)
            return;
        logEvent("peer-release",
            { { "peer", vm.value_ }, { "release", release }, { "before", known },
                { "protocol", std::to_string(protocolOf(reply).version_) } });
        known = release;
    }

    void handleRequest(const FrontRequest& request, std::shared_ptr<FrontReply> reply)
    {
        auto handler = handlers_.find(request.head_.target_);
        if (handler == handlers_.end())
            return answerPeer(*reply, httpNotFound, "");
        handler->second(request, std::move(reply));
    }
};

PeerExchange::PeerExchange(asio::io_context& io, const VmId& own, const std::string& address)
    : impl_(std::make_unique<Impl>(io, own, address))
{
}

PeerExchange::~PeerExchange() = default;

PeerList& PeerExchange::peers() { return impl_->peers_; }

void PeerExchange::setPeers(const std::map<VmId, PeerEntry>& peers)
{
    impl_->peers_.peers_ = peers;
    dropAbsent(impl_->peers_.backoffs_, peers);
    dropAbsent(impl_->releases_, peers);
}

void PeerExchange::serve(const std::string& path, Handler handler)
{
    impl_->handlers_[path] = std::move(handler);
}

std::shared_ptr<OutboundCall> PeerExchange::post(
    const PeerEntry& peer, const char* path, std::string body, OutboundCallbacks callbacks)
{
    auto address = parseEndpoint(peer.address_);
    if (!address)
        return nullptr;
    HttpHead head;
    head.method_ = "POST";
    head.target_ = path;
    head.headers_.push_back({ "Host", peer.address_ });
    addProtocol(head);
    callbacks.onHead_
        = [impl = impl_.get(), vm = peer.vm_, onHead = std::move(callbacks.onHead_)](const HttpHead& reply) {
              impl->readRelease(vm, reply);
              if (onHead)
                  onHead(reply);
          };
    OutboundRequest request { *address, std::move(head), std::move(body), peerConnectTimeout };
    return impl_->outbound_.send(std::move(request), std::move(callbacks));
}

void PeerExchange::setLimits(const FrontLimits& limits)
{
    if (impl_->server_)
        impl_->server_->setLimits(limits);
}

void PeerExchange::tick(MonotonicTime now)
{
    impl_->outbound_.tick(now);
    if (impl_->server_)
        impl_->server_->tick(now);
}

void PeerExchange::leaveAddress()
{
    if (impl_->server_)
        impl_->server_->leaveAddress();
}

const std::optional<ListenWait>& PeerExchange::listenWait() const
{
    static const std::optional<ListenWait> none;
    return impl_->server_ ? impl_->server_->listenWait() : none;
}

SocketBytes PeerExchange::socketBytes() const
{
    SocketBytes sum = impl_->outbound_.socketBytes();
    if (impl_->server_)
        sum += impl_->server_->socketBytes();
    return sum;
}

bool PeerExchange::hasUnsentBytes() const { return impl_->server_ && impl_->server_->hasUnsentBytes(); }

void answerPeer(FrontReply& reply, int status, const std::string& body, std::vector<HttpHeader> headers)
{
    HttpHead head;
    head.status_ = status;
    head.headers_ = std::move(headers);
    addProtocol(head);
    addRelease(head);
    reply.answer(std::move(head), body);
}

void refuseMalformed(FrontReply& reply, const FrontRequest& request)
{
    logWarning("peer-request-refused", "the message is malformed; check that all VMs run the same release",
        { { "path", request.head_.target_ }, { "bytes", std::to_string(request.body_.size()) } });
    answerPeer(reply, httpBadRequest, "");
}

} // namespace fescue
