#include "PlatformView.h"

#include "EventLog.h"

#include <mutex>

namespace fescue {

using nlohmann::json;

namespace {

    constexpr Milliseconds membersTimeout { 3000 };

    Members parseMembers(const std::string& text)
    {
        json document = json::parse(text, nullptr, false);
        Members members;
        if (!document.is_object() || !document.contains("vms") || !document["vms"].is_array())
            return members;
        for (const json& vm : document["vms"]) {
            if (!vm.is_object())
                continue;
            members.push_back({ { vm.value("vm", "") }, { vm.value("zone", "") }, vm.value("address", ""),
                vm.value("state", "live") != "live", true });
        }
        return members;
    }

} // namespace

struct PlatformView::Impl : std::enable_shared_from_this<PlatformView::Impl> {
    PlatformOptions options_;
    HttpClient& client_;
    PlatformHandlers handlers_;
    mutable std::mutex mutex_;
    ConfigReader config_;
    Members members_;
    MonotonicTime startedAt_ = monotonicNow();
    bool hasReadMembers_ = false;
    bool isReadingVms_ = false;
    MonotonicTime nextVmsReadAt_;

    Impl(const PlatformOptions& options, HttpClient& client, PlatformHandlers handlers)
        : options_(options)
        , client_(client)
        , handlers_(std::move(handlers))
        , config_(options.config_, client, [this](const Config& config) { handlers_.onConfig_(config); })
    {
    }

    void readVms()
    {
        {
            std::lock_guard<std::mutex> lock(mutex_);
            if (isReadingVms_ || monotonicNow() < nextVmsReadAt_)
                return;
            isReadingVms_ = true;
        }
        client_.start({ "GET", options_.vmsUrl_ + "/vms" },
            [self = shared_from_this()](const HttpResult& result) { self->onVmsRead(result); });
    }

    void onVmsRead(const HttpResult& result)
    {
        Members members;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            isReadingVms_ = false;
            auto costMs = static_cast<std::int64_t>(result.body_.size()) * 1000 / options_.vmsBytesPerSecond_;
            nextVmsReadAt_ = monotonicNow() + std::max(options_.vmsInterval_, Milliseconds { costMs });
            if (result.outcome_ != HttpResult::Outcome::Answered || result.status_ != 200)
                return;
            hasReadMembers_ = true;
            members = parseMembers(result.body_);
            if (members == members_)
                return;
            members_ = members;
        }
        handlers_.onMembers_(members);
    }
};

PlatformView::PlatformView(const PlatformOptions& options, HttpClient& client, PlatformHandlers handlers)
    : impl_(std::make_shared<Impl>(options, client, std::move(handlers)))
{
}

PlatformView::~PlatformView() = default;

void PlatformView::start() { tick(); }

void PlatformView::tick()
{
    impl_->config_.tick();
    impl_->readVms();
}

void PlatformView::offer(const Config& config) { impl_->config_.offer(config); }

ConfigPtr PlatformView::config() const { return impl_->config_.config(); }

LogOffset PlatformView::lastReadOffset() const { return impl_->config_.lastReadOffset(); }

ConfigStatus PlatformView::status() const { return impl_->config_.status(); }

Members PlatformView::members() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    return impl_->members_;
}

bool PlatformView::isReady() const
{
    ConfigStatus status = impl_->config_.status();
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    bool isListPending = !impl_->hasReadMembers_ && monotonicNow() - impl_->startedAt_ < membersTimeout;
    return status.hasConfig_ && !status.hasGap_ && !isListPending;
}

} // namespace fescue
