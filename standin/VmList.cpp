#include "VmList.h"

#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>

namespace fescue::standin {

using nlohmann::json;

namespace {

    constexpr std::string_view vmPath = "/vms/";

    // A version of the list, current from `validFrom_` until the next version.
    struct Version {
        MonotonicTime validFrom_;
        std::map<std::string, json> vms_;
    };

} // namespace

struct VmList::Impl {
    std::mutex mutex_;
    std::deque<Version> versions_ { Version {} };
    Milliseconds lag_ { 0 };
    std::vector<char> isDown_; ///< By listener.
    std::vector<std::unique_ptr<HttpServer>> http_;

    void updateVm(const std::string& vm, const json* entry)
    {
        Version next { monotonicNow(), versions_.back().vms_ };
        if (entry) {
            next.vms_[vm] = *entry;
            next.vms_[vm]["vm"] = vm;
        } else {
            next.vms_.erase(vm);
        }
        versions_.push_back(std::move(next));
    }

    json renderList()
    {
        auto visibleAt = monotonicNow() - lag_;
        while (versions_.size() > 1 && versions_[1].validFrom_ <= visibleAt)
            versions_.pop_front();
        json rows = json::array();
        for (const auto& [vm, entry] : versions_.front().vms_)
            rows.push_back(entry);
        return { { "vms", std::move(rows) } };
    }

    HttpResponse handle(std::size_t listener, const HttpRequest& request)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        json body = json::parse(request.body_, nullptr, false);
        if (request.path_ == "/faults" && body.is_object()) {
            isDown_[listener] = static_cast<char>(body.value("down", isDown_[listener] != 0));
            lag_ = Milliseconds { body.value("lag_ms", lag_.count()) };
            return { 200, "application/json", "{}", {} };
        }
        if (isDown_[listener] != 0)
            return { 503, "application/json", "{\"error\": \"down\"}", {} };
        if (request.path_ == "/vms")
            return { 200, "application/json", renderList().dump(), {} };
        if (request.path_.rfind(vmPath, 0) != 0 || (request.method_ == "PUT" && !body.is_object()))
            return { 400, "application/json", "{\"error\": \"use /vms or /vms/<vm>\"}", {} };
        updateVm(request.path_.substr(vmPath.size()), request.method_ == "PUT" ? &body : nullptr);
        return { 200, "application/json", "{}", {} };
    }
};

VmList::VmList(const HttpServerOptions& options, std::size_t ports)
    : impl_(std::make_unique<Impl>())
{
    impl_->isDown_.resize(ports);
    for (std::size_t listener = 0; listener < ports; ++listener) {
        HttpServerOptions listenerOptions = options;
        listenerOptions.port_ = listener == 0 ? options.port_ : 0;
        impl_->http_.push_back(std::make_unique<HttpServer>(listenerOptions,
            [impl = impl_.get(), listener](const HttpRequest& request, const HttpExchangePtr& exchange) {
                exchange->answer(impl->handle(listener, request));
            }));
    }
}

VmList::~VmList() { impl_->http_.clear(); }

std::uint16_t VmList::port(std::size_t listener) const { return impl_->http_.at(listener)->port(); }

} // namespace fescue::standin
