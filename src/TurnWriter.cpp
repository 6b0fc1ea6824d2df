#include "TurnWriter.h"

#include "BootClock.h"
#include "ConversationPeers.h"
#include "Metrics.h"
#include "PeerProtocol.h"

#include <algorithm>
#include <list>
#include <set>

namespace fescue {

namespace {

    constexpr const char* keepPath = "/conversations/keep";
    constexpr int httpOk = 200;
    constexpr int httpUnavailable = 503;
    // The VM that writes a partition is slow while the store is at its rate. More writers would make that
    // worse, so only a VM that is lost or suspended is passed over.
    constexpr Milliseconds partitionWriterTimeout { 700 };
    // A write of this VM that has no acknowledgement by then is also given to a peer: soon if the store has
    // not served any call lately, and later if it has.
    constexpr Milliseconds peerDelay { 200 };
    constexpr Milliseconds peerDelayWhileServed { 1000 };
    constexpr Milliseconds servedLately { 500 };
    constexpr Milliseconds peerTimeout { 600 };
    constexpr std::size_t maxPeers = 3;

} // namespace

struct TurnWriter::Impl : std::enable_shared_from_this<TurnWriter::Impl> {
    // Turns that are being written.
    struct Write {
        TurnChain turns_;
        Milliseconds life_ { 0 };
        MonotonicTime deadline_;
        OnWritten done_;
        std::vector<TurnArchive::WriteId> calls_;
        std::size_t unwritten_ = 0;
        bool isForPeer_ = false; ///< Not given to another peer.
        bool isAtPartitionWriter_ = false; ///< `peerCall_` went to it, and this VM does not write itself yet.
        std::shared_ptr<OutboundCall> peerCall_;
        VmId peer_; ///< That `peerCall_` was sent to.
        MonotonicTime peerDeadline_;
        MonotonicTime startedAt_; ///< When this VM began to write itself.
        std::set<VmId> peersAsked_;
    };
    using WritePtr = std::shared_ptr<Write>;

    PacedStore& store_;
    TurnArchive& archive_;
    PeerExchange& exchange_;
    ZoneId zone_;
    std::list<WritePtr> writes_;
    bool isDraining_ = false;
    Counter writtenByPeer_ { "turns_kept_by_peers_total" };

    Impl(PacedStore& store, TurnArchive& archive, PeerExchange& exchange, const ZoneId& zone)
        : store_(store)
        , archive_(archive)
        , exchange_(exchange)
        , zone_(zone)
    {
        exchange_.serve(
            keepPath, [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
                handleKeep(request, reply);
            });
    }

    void start(const WritePtr& write)
    {
        writes_.push_back(write);
        const AttemptId& turn = write->turns_.back().turn_->id_;
        auto writer = write->isForPeer_
            ? std::nullopt
            : firstVmFor(exchange_.peers(), archive_.partitionOf(turn), bootNow());
        if (!writer)
            return writeItself(write);
        write->isAtPartitionWriter_ = true;
        askPeer(write, *writer, partitionWriterTimeout);
        if (!write->peerCall_)
            writeItself(write);
    }

    void writeItself(const WritePtr& write)
    {
        write->isAtPartitionWriter_ = false;
        write->startedAt_ = bootNow();
        write->unwritten_ = write->turns_.size();
        for (const StoredTurn& stored : write->turns_)
            write->calls_.push_back(archive_.write(stored.turn_, write->life_, write->deadline_,
                [weak = weak_from_this(), write](bool isWritten) {
                    if (auto self = weak.lock())
                        self->handleWritten(write, isWritten);
                }));
        askPeerIfDue(write, bootNow());
    }

    void handleWritten(const WritePtr& write, bool isWritten)
    {
        if (!write->done_)
            return;
        static const VmId thisVm;
        if (!isWritten)
            finish(write, nullptr);
        else if (--write->unwritten_ == 0)
            finish(write, &thisVm);
    }

    Milliseconds delayOfPeers() const
    {
        if (store_.wasServedWithin(servedLately))
            return peerDelayWhileServed;
        return store_.isFailing() ? Milliseconds { 0 } : peerDelay;
    }

    void askPeerIfDue(const WritePtr& write, MonotonicTime now)
    {
        if (write->isForPeer_ || write->peerCall_ || now < write->startedAt_ + delayOfPeers()
            || now >= write->deadline_)
            return;
        const AttemptId& turn = write->turns_.back().turn_->id_;
        auto peer = write->peersAsked_.size() < maxPeers
            ? peerWithStore(exchange_.peers(), zone_, turn, write->peersAsked_, now)
            : std::nullopt;
        if (!peer) {
            // Peers that did not reach the store may do so by then.
            if (now >= write->peerDeadline_)
                write->peersAsked_.clear();
            return;
        }
        write->peersAsked_.insert(peer->vm_);
        askPeer(write, *peer, peerTimeout);
    }

    void askPeer(const WritePtr& write, const PeerEntry& peer, Milliseconds timeout)
    {
        MonotonicTime now = bootNow();
        write->peer_ = peer.vm_;
        write->peerDeadline_ = now + timeout;
        auto status = std::make_shared<int>(0);
        OutboundCallbacks callbacks;
        callbacks.onHead_ = [status](const HttpHead& head) { *status = head.status_; };
        callbacks.onEnd_ = [weak = weak_from_this(), write, status](const OutboundResult& end) {
            auto self = weak.lock();
            if (self && write->done_)
                self->handlePeerReply(write, end.outcome_ == OutboundResult::Outcome::Answered ? *status : 0);
        };
        Milliseconds timeLeft = std::min(peerTimeout, Milliseconds(write->deadline_ - now));
        write->peerCall_ = exchange_.post(peer, keepPath,
            encode(KeepRequest { write->turns_, write->life_, timeLeft }, now), std::move(callbacks));
    }

    // `status` is 0 if the peer has not answered.
    void handlePeerReply(const WritePtr& write, int status)
    {
        write->peerCall_ = nullptr;
        // A VM that cannot write is passed over, too.
        recordPeerOutcome(
            exchange_.peers(), write->peer_, status == httpOk || isUnknownMessage(status), bootNow());
        if (status != httpOk)
            return write->isAtPartitionWriter_ ? writeItself(write) : askPeerIfDue(write, bootNow());
        writtenByPeer_.add();
        finish(write, &write->peer_);
    }

    void finish(const WritePtr& write, const VmId* writer)
    {
        if (write->peerCall_)
            write->peerCall_->cancel();
        for (TurnArchive::WriteId call : write->calls_)
            archive_.cancel(call);
        writes_.remove(write);
        std::exchange(write->done_, nullptr)(writer);
    }

    void handleKeep(const FrontRequest& request, const std::shared_ptr<FrontReply>& reply)
    {
        auto keep = parseKeepRequest(request.body_, bootNow());
        if (!keep)
            return refuseMalformed(*reply, request);
        if (isDraining_ || store_.isUnusable())
            return answerPeer(*reply, httpUnavailable, "");
        auto isGone = watchDisconnect(*reply);
        auto write = std::make_shared<Write>();
        write->turns_ = std::move(keep->turns_);
        write->life_ = keep->life_;
        write->deadline_ = bootNow() + keep->timeLeft_;
        write->isForPeer_ = true;
        write->done_ = [reply, isGone](const VmId* writer) {
            if (!*isGone)
                answerPeer(*reply, writer ? httpOk : httpUnavailable, "");
        };
        start(write);
    }

    void tick(bool isDraining, MonotonicTime now)
    {
        isDraining_ = isDraining;
        for (const WritePtr& write : std::list<WritePtr>(writes_)) {
            if (write->peerCall_ && now >= write->peerDeadline_) {
                write->peerCall_->cancel();
                handlePeerReply(write, 0);
            }
            if (write->done_ && !write->isAtPartitionWriter_)
                askPeerIfDue(write, now);
        }
    }
};

TurnWriter::TurnWriter(PacedStore& store, TurnArchive& archive, PeerExchange& exchange, const ZoneId& zone)
    : impl_(std::make_shared<Impl>(store, archive, exchange, zone))
{
}

TurnWriter::~TurnWriter() = default;

void TurnWriter::write(TurnChain turns, Milliseconds life, MonotonicTime deadline, OnWritten done)
{
    auto write = std::make_shared<Impl::Write>();
    write->turns_ = std::move(turns);
    write->life_ = life;
    write->deadline_ = deadline;
    write->done_ = std::move(done);
    impl_->start(write);
}

void TurnWriter::tick(bool isDraining, MonotonicTime now) { impl_->tick(isDraining, now); }

bool TurnWriter::isIdle() const { return impl_->writes_.empty(); }

} // namespace fescue
