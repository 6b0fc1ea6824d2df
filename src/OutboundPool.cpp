#include "OutboundPool.h"

#include "BootClock.h"
#include "TcpLink.h"

#include <algorithm>
#include <asio/post.hpp>
#include <charconv>
#include <map>
#include <set>

namespace fescue {

namespace {

    using asio::ip::tcp;

    // Seconds that a peer keeps an idle connection, as its Keep-Alive header says.
    std::optional<Milliseconds> announcedIdleTime(const HttpHead& head)
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

    class Channel;

    struct Idle {
        std::shared_ptr<Channel> channel_;
        MonotonicTime until_;
    };

    struct Shared {
        asio::io_context& io_;
        OutboundLimits limits_;
        std::map<tcp::endpoint, std::vector<Idle>> idle_; ///< Used last at the back.
        std::set<std::shared_ptr<Channel>> connecting_;
        std::uint64_t made_ = 0;
    };

    // A connection with at most one exchange on it.
    class Channel : public std::enable_shared_from_this<Channel> {
    public:
        Channel(std::shared_ptr<Shared> shared, tcp::endpoint peer)
            : shared_(std::move(shared))
            , peer_(peer)
            , link_(TcpLink::make(shared_->io_))
            , reader_(HttpReader::Side::Responses, shared_->limits_.message_)
        {
        }

        void connect(Milliseconds timeout)
        {
            auto self = shared_from_this();
            link_->setCallbacks(
                { [self] { self->connected(); }, [self](std::string_view data) { self->takeData(data); },
                    [self](LinkEnd how) { self->ended(how); } });
            connectBefore_ = bootNow() + timeout;
            shared_->connecting_.insert(self);
            ++shared_->made_;
            link_->connect(peer_);
        }

        void run(OutboundRequest request, OutboundCallbacks callbacks)
        {
            callbacks_ = std::move(callbacks);
            isBusy_ = true;
            request_ = toBytes(request);
            if (request.head_.method_ == "HEAD")
                reader_.expectNoBody();
            if (isConnected_)
                sendRequest();
        }

        void cancel()
        {
            shared_->connecting_.erase(shared_from_this());
            // This may run inside of one of the callbacks, which then has to outlive the call.
            asio::post(shared_->io_, [kept = std::make_shared<OutboundCallbacks>(std::move(callbacks_))] {});
            callbacks_ = {};
            isBusy_ = false;
            link_->close(true);
        }

        void pauseReading(bool isPaused) { link_->pauseReading(isPaused); }

        void tick(MonotonicTime now)
        {
            if (!isConnected_ && now > connectBefore_) {
                link_->close(true);
                finish(OutboundEnd::Fate::NotSent, "no connection in time");
            }
        }

        void close() { link_->close(); }
        bool isUsable() const { return link_->isOpen() && !isBusy_; }

    private:
        static std::string toBytes(OutboundRequest& request)
        {
            const std::string& method = request.head_.method_;
            if (!request.body_.empty() || (method != "GET" && method != "HEAD" && method != "DELETE"))
                request.head_.headers_.push_back({ "Content-Length", std::to_string(request.body_.size()) });
            return toText(request.head_) + request.body_;
        }

        void connected()
        {
            shared_->connecting_.erase(shared_from_this());
            isConnected_ = true;
            if (isBusy_)
                sendRequest();
        }

        void sendRequest()
        {
            wasSent_ = true;
            link_->send(request_);
            request_.clear();
            request_.shrink_to_fit();
        }

        void takeData(std::string_view data)
        {
            if (!isBusy_) {
                // Bytes that nobody asked for: whatever comes next here could not be told apart.
                return drop();
            }
            auto self = shared_from_this();
            while (!data.empty() && isBusy_) {
                data.remove_prefix(reader_.feed(data));
                if (reader_.fault())
                    return fail("the answer is not HTTP");
                if (!reader_.hasHead())
                    return;
                if (!passOn())
                    return;
                if (reader_.isComplete())
                    endMessage(!data.empty());
            }
        }

        // Hands head and body over. False when the exchange is over.
        bool passOn()
        {
            bool isInterim = reader_.head().status_ < 200;
            if (!hasHead_ && !isInterim) {
                hasHead_ = true;
                isForeign_ = callbacks_.isOurs_ && !callbacks_.isOurs_(reader_.head());
                if (!isForeign_ && callbacks_.onHead_)
                    callbacks_.onHead_(reader_.head());
            }
            std::string body = reader_.takeBody();
            if (isBusy_ && !body.empty() && !isForeign_ && callbacks_.onBody_)
                callbacks_.onBody_(std::move(body));
            return isBusy_;
        }

        void endMessage(bool hasMore)
        {
            if (!hasHead_ || isForeign_) { // An interim response, or one for an earlier request.
                bool canReadOn = reader_.isDelimited() && reader_.head().keepsAlive_;
                hasHead_ = false;
                isForeign_ = false;
                reader_.next();
                if (!canReadOn)
                    fail("only an answer to another request came");
                return;
            }
            bool mayKeep
                = reader_.isDelimited() && reader_.head().keepsAlive_ && !hasMore && link_->queued() == 0;
            Milliseconds idleTime = shared_->limits_.idleTime_;
            if (auto announced = announcedIdleTime(reader_.head()))
                idleTime = std::min(idleTime, *announced - shared_->limits_.idleMargin_);
            reader_.next();
            hasHead_ = false;
            bool wasReused = isReused_;
            isReused_ = true;
            isBusy_ = false;
            auto callbacks = std::move(callbacks_);
            callbacks_ = {};
            if (mayKeep && idleTime.count() > 0)
                keep(idleTime);
            else
                link_->close();
            if (callbacks.onEnd_)
                callbacks.onEnd_({ OutboundEnd::Fate::Answered, wasReused, true, "" });
        }

        void keep(Milliseconds idleTime)
        {
            wasSent_ = false;
            std::vector<Idle>& idle = shared_->idle_[peer_];
            if (idle.size() >= shared_->limits_.idlePerPeer_) {
                idle.front().channel_->close();
                idle.erase(idle.begin());
            }
            idle.push_back({ shared_from_this(), bootNow() + idleTime });
        }

        void drop()
        {
            link_->close(true);
            forgetIdle();
        }

        void forgetIdle()
        {
            auto found = shared_->idle_.find(peer_);
            if (found == shared_->idle_.end())
                return;
            auto& idle = found->second;
            idle.erase(std::remove_if(idle.begin(), idle.end(),
                           [this](const Idle& entry) { return entry.channel_.get() == this; }),
                idle.end());
        }

        void ended(LinkEnd how)
        {
            auto self = shared_from_this();
            shared_->connecting_.erase(self);
            if (!isBusy_)
                return forgetIdle();
            // An answer without a length ends with its connection; one that is reset is not whole.
            if (how == LinkEnd::Closed && hasHead_ && !isForeign_) {
                reader_.feedEnd();
                if (reader_.isComplete())
                    return endMessage(false);
            }
            fail(how == LinkEnd::NotConnected ? "no connection" : "the connection ended");
        }

        void fail(const char* reason)
        {
            link_->close(true);
            finish(wasSent_ ? OutboundEnd::Fate::Lost : OutboundEnd::Fate::NotSent, reason);
        }

        void finish(OutboundEnd::Fate fate, const char* reason)
        {
            shared_->connecting_.erase(shared_from_this());
            if (!isBusy_)
                return;
            isBusy_ = false;
            auto callbacks = std::move(callbacks_);
            callbacks_ = {};
            if (callbacks.onEnd_)
                callbacks.onEnd_({ fate, isReused_, hasHead_, reason });
        }

        std::shared_ptr<Shared> shared_;
        tcp::endpoint peer_;
        std::shared_ptr<TcpLink> link_;
        HttpReader reader_;
        OutboundCallbacks callbacks_;
        std::string request_;
        MonotonicTime connectBefore_;
        bool isConnected_ = false;
        bool isBusy_ = false;
        bool isReused_ = false;
        bool wasSent_ = false;
        bool hasHead_ = false;
        bool isForeign_ = false;
    };

    class Call final : public OutboundCall {
    public:
        explicit Call(std::shared_ptr<Channel> channel)
            : channel_(std::move(channel))
        {
        }
        void cancel() override
        {
            if (channel_ && !isOver_)
                channel_->cancel();
            isOver_ = true;
        }
        void pauseReading(bool isPaused) override
        {
            if (channel_ && !isOver_)
                channel_->pauseReading(isPaused);
        }

        std::shared_ptr<Channel> channel_;
        bool isOver_ = false;
    };

} // namespace

struct OutboundPool::Impl : Shared {
    Impl(asio::io_context& io, const OutboundLimits& limits)
        : Shared { io, limits, {}, {}, 0 }
    {
    }
};

OutboundPool::OutboundPool(asio::io_context& io, const OutboundLimits& limits)
    : impl_(std::make_shared<Impl>(io, limits))
{
}

OutboundPool::~OutboundPool() { closeIdle(); }

std::shared_ptr<OutboundCall> OutboundPool::send(OutboundRequest request, OutboundCallbacks callbacks)
{
    std::shared_ptr<Channel> channel;
    auto idle = impl_->idle_.find(request.peer_);
    while (!request.needsNewConnection_ && !channel && idle != impl_->idle_.end() && !idle->second.empty()) {
        Idle last = std::move(idle->second.back());
        idle->second.pop_back();
        if (last.channel_->isUsable() && bootNow() < last.until_)
            channel = std::move(last.channel_);
        else
            last.channel_->close();
    }
    bool isNew = !channel;
    if (isNew)
        channel = std::make_shared<Channel>(impl_, request.peer_);
    auto call = std::make_shared<Call>(channel);
    // After the end of the exchange the channel may serve another one, which a late cancel must not hit.
    auto onEnd = std::move(callbacks.onEnd_);
    callbacks.onEnd_ = [call, onEnd = std::move(onEnd)](const OutboundEnd& end) {
        call->isOver_ = true;
        call->channel_ = nullptr;
        if (onEnd)
            onEnd(end);
    };
    Milliseconds timeout = request.connectTimeout_;
    channel->run(std::move(request), std::move(callbacks));
    if (isNew)
        channel->connect(timeout);
    return call;
}

void OutboundPool::tick(MonotonicTime now)
{
    auto connecting = impl_->connecting_;
    for (const auto& channel : connecting)
        channel->tick(now);
    for (auto peer = impl_->idle_.begin(); peer != impl_->idle_.end();) {
        auto& idle = peer->second;
        for (Idle& entry : idle) {
            if (now >= entry.until_)
                entry.channel_->close();
        }
        idle.erase(std::remove_if(
                       idle.begin(), idle.end(), [now](const Idle& entry) { return now >= entry.until_; }),
            idle.end());
        peer = idle.empty() ? impl_->idle_.erase(peer) : std::next(peer);
    }
}

void OutboundPool::closeIdle()
{
    for (auto& [peer, idle] : impl_->idle_) {
        for (Idle& entry : idle)
            entry.channel_->close();
    }
    impl_->idle_.clear();
}

std::uint64_t OutboundPool::connectionsMade() const { return impl_->made_; }

} // namespace fescue
