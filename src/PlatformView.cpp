#include "PlatformView.h"

#include "EventLog.h"

#include <mutex>

namespace fescue {

using nlohmann::json;

namespace {

    constexpr Milliseconds configWait { 2000 };
    constexpr Milliseconds configRetry { 500 };
    constexpr Milliseconds membersPatience { 3000 };

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
    Config config_;
    Members members_;
    MonotonicTime startedAt_ = monotonicNow();
    bool hasHeardMembers_ = false;
    bool isReadingConfig_ = false;
    bool isReadingVms_ = false;
    MonotonicTime configAt_;
    MonotonicTime vmsAt_;

    Impl(const PlatformOptions& options, HttpClient& client, PlatformHandlers handlers)
        : options_(options)
        , client_(client)
        , handlers_(std::move(handlers))
    {
    }

    void readConfig()
    {
        LogOffset from;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            if (isReadingConfig_ || monotonicNow() < configAt_)
                return;
            isReadingConfig_ = true;
            from = { config_.readTo_.value_ + 1 };
        }
        readLog(client_, options_.log_, configStream, from, configWait,
            [self = shared_from_this()](
                const tl::expected<LogPage, LogError>& page) { self->configRead(page); });
    }

    void configRead(const tl::expected<LogPage, LogError>& page)
    {
        Config changed;
        bool hasChanged = false;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            isReadingConfig_ = false;
            if (!page) {
                configAt_ = monotonicNow() + configRetry;
                return;
            }
            LogOffset before = config_.version_;
            for (const LogEntry& entry : page->entries_) {
                if (entry.offset_ <= config_.readTo_)
                    continue;
                PublicationVerdict verdict = foldPublication(config_, entry.offset_, entry.data_);
                logEvent(verdict.isAccepted_ ? "config_accepted" : "config_rejected",
                    { { "offset", std::to_string(entry.offset_.value_) }, { "author", verdict.author_ },
                        { "detail", verdict.detail_ } });
            }
            hasChanged = config_.version_ != before;
            changed = config_;
        }
        if (hasChanged)
            handlers_.onConfig_(changed);
        readConfig();
    }

    void readVms()
    {
        {
            std::lock_guard<std::mutex> lock(mutex_);
            if (isReadingVms_ || monotonicNow() < vmsAt_)
                return;
            isReadingVms_ = true;
        }
        client_.start({ "GET", options_.vmsUrl_ + "/vms" },
            [self = shared_from_this()](const HttpResult& result) { self->vmsRead(result); });
    }

    void vmsRead(const HttpResult& result)
    {
        Members members;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            isReadingVms_ = false;
            vmsAt_ = monotonicNow() + options_.vmsInterval_;
            if (result.fate_ != HttpResult::Fate::Answered || result.status_ != 200)
                return;
            hasHeardMembers_ = true;
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
    impl_->readConfig();
    impl_->readVms();
}

void PlatformView::offer(const Config& config)
{
    {
        std::lock_guard<std::mutex> lock(impl_->mutex_);
        if (config.readTo_ <= impl_->config_.readTo_)
            return;
        impl_->config_ = config;
    }
    impl_->handlers_.onConfig_(config);
}

Config PlatformView::config() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    return impl_->config_;
}

Members PlatformView::members() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    return impl_->members_;
}

bool PlatformView::isReady() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    bool isListMissing = !impl_->hasHeardMembers_ && monotonicNow() - impl_->startedAt_ < membersPatience;
    return impl_->config_.version_.value_ != 0 && !isListMissing;
}

} // namespace fescue
