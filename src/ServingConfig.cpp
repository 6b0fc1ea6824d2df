#include "ServingConfig.h"

#include "LowerCase.h"

#include <algorithm>

namespace fescue {

namespace {

    std::string hostWithoutPort(std::string_view host) { return toLowerCase(host.substr(0, host.find(':'))); }

    bool startsWith(std::string_view text, std::string_view prefix)
    {
        return text.substr(0, prefix.size()) == prefix;
    }

} // namespace

const Route* findRoute(const ServingConfig& config, std::string_view host, std::string_view path)
{
    std::string name = hostWithoutPort(host);
    const Route* best = nullptr;
    for (const Route& route : config.routes_) {
        if (route.host_ != name || !startsWith(path, route.prefix_))
            continue;
        if (!best || route.prefix_.size() > best->prefix_.size())
            best = &route;
    }
    return best;
}

ServiceId chooseService(const Route& route, std::uint64_t key)
{
    double total = 0;
    for (const WeightedService& entry : route.services_)
        total += std::max(0.0, entry.weight_);
    if (total <= 0)
        return {};
    constexpr std::uint64_t modulus = 1000003; // Prime, to spread keys with a regular pattern.
    double position = total * static_cast<double>(key % modulus) / static_cast<double>(modulus);
    for (const WeightedService& entry : route.services_) {
        position -= std::max(0.0, entry.weight_);
        if (position < 0)
            return entry.service_;
    }
    return route.services_.back().service_;
}

} // namespace fescue
