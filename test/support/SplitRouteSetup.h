#pragma once

/** \file
 * SplitRouteSetup: streams that break off after their first event, on a route over two services.
 */

#include "StreamVersionSetup.h"

#include <algorithm>
#include <fmt/format.h>

namespace fescue::test {

constexpr int streamCount = 16;
// The VMs know then what was in force while streams could begin that may still be taken up.
constexpr std::chrono::milliseconds untilCovered { 11500 };
constexpr std::chrono::milliseconds untilApplied { 400 };

/** A configuration whose streams are divided among two services. */
inline std::string splitConfig(int version, double weightOfLlm, double weightOfApp)
{
    return fmt::format(R"({{"version":{},"routes":[
{{"name":"split","host":"h.example","path-prefix":"/split/","type":"streaming","timeout-ms":3000,
 "backends":[{{"service":"llm","weight":{}}},{{"service":"app","weight":{}}}],
 "max-attempts":1,"retained":false,"retention-s":60.0,"resumable":true,"priority":1}}],
"services":[{{"name":"llm","engine":{{"slots":12,"tokens-per-event":100}}}},{{"name":"app"}}],
"limits":{{"max-header-bytes":8192,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}})",
        version, weightOfLlm, weightOfApp);
}

/** VMs with a route over two services of one version each. To be used on the test's thread. */
struct SplitSetup : StreamVersionSetup {
    int configVersion_ = 5;

    explicit SplitSetup(std::size_t vms, bool hasPrograms, double weightOfLlm = 1, double weightOfApp = 1)
        : StreamVersionSetup(vms, false)
    {
        path_ = "/split/1";
        hasPrograms_ = hasPrograms;
        publish(weightOfLlm, weightOfApp);
        std::this_thread::sleep_for(untilCovered);
    }

    void publish(double weightOfLlm, double weightOfApp)
    {
        std::string config = splitConfig(++configVersion_, weightOfLlm, weightOfApp);
        vms_.runOnStore(
            [&config](standin::PlatformStore& store) { store.put("keyed.op", "config", config); });
        std::this_thread::sleep_for(untilApplied);
    }

    std::vector<std::string> beginMany(int count = streamCount)
    {
        std::vector<std::string> begun;
        begun.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            begun.push_back(begin(0));
        return begun;
    }

    // Resumes each stream at one VM. Returns how many went on.
    int resumeAll(const std::vector<std::string>& begun, std::size_t vm)
    {
        int resumed = 0;
        for (const std::string& first : begun)
            resumed += statusOf(resume(vm, first)) == 200 ? 1 : 0;
        return resumed;
    }

    int joined(const std::vector<std::string>& begun) const
    {
        return static_cast<int>(std::count_if(begun.begin(), begun.end(),
            [this](const std::string& first) { return streams_.servicesOf(first).size() > 1; }));
    }

    int begunAt(const std::vector<std::string>& begun, const std::string& service) const
    {
        return static_cast<int>(
            std::count_if(begun.begin(), begun.end(), [this, &service](const std::string& first) {
                return streams_.servicesOf(first).count(service) > 0;
            }));
    }

    // Without streams of both services a test would show nothing.
    void checkBothServicesBegan(const std::vector<std::string>& begun) const
    {
        CHECK(begunAt(begun, "llm") > 0);
        CHECK(begunAt(begun, "app") > 0);
    }
};

} // namespace fescue::test
