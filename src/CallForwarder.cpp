#include "CallForwarderImpl.h"

#include "ServiceOccupancy.h"

namespace fescue {

CallForwarder::CallForwarder(asio::io_context& io, platform::StoreClient& store, PeerExchange& exchange,
    const ZoneId& zone, const WriterId& writer, std::uint64_t seed)
    : impl_(std::make_shared<Impl>(io, store, exchange, zone, writer, seed))
{
}

CallForwarder::~CallForwarder() = default;

void CallForwarder::setTargets(const TargetList& list, const ServingConfig& config)
{
    impl_->setTargets(list, config);
}

void CallForwarder::forward(ForwardedCall call) { impl_->forward(std::move(call)); }

void CallForwarder::applyCrashRecords(const std::vector<platform::KeyedRecord>& records, bool isComplete)
{
    impl_->crashTracker_.applyRecords(records, isComplete);
}

void CallForwarder::tick(const TargetList& list, MonotonicTime now) { impl_->tick(list, now); }

void CallForwarder::endBy(MonotonicTime time) { impl_->lastAnswerAt_ = time; }

void CallForwarder::closeIdleConnections() { impl_->outbound_.closeIdle(); }

double CallForwarder::occupancy(const ServiceId& service) const
{
    return occupancyOf(impl_->pool_, { service.value_ }, bootNow());
}

double CallForwarder::toolOccupancy(const ServiceId& service) const
{
    return serviceOccupancyOf(impl_->pool_, service, bootNow());
}

bool CallForwarder::isStranded() const { return impl_->links_.isStranded(); }

void CallForwarder::serveRelayed(std::function<void(ForwardedCall)> handler)
{
    impl_->callRelay_.serve(std::move(handler));
}

std::size_t CallForwarder::openCallCount() const { return impl_->transfers_.size() + impl_->held_.size(); }

std::size_t CallForwarder::knownProgramCount() const { return programCount(impl_->pool_); }

std::size_t CallForwarder::queuedCallCount() const { return impl_->pool_.queue_.calls_.size(); }

SocketBytes CallForwarder::socketBytes() const { return impl_->outbound_.socketBytes(); }
std::uint64_t CallForwarder::connectionsMade() const { return impl_->outbound_.connectionsMade(); }

} // namespace fescue
