// A request crashes the machine of each runner that begins to run it, so that its connections hang.

#include "CaseKit.h"
#include "Cases.h"

#include <fmt/format.h>

namespace review {

namespace {

    constexpr const char* config = R"({"version":7,"routes":[
{"name":"orders","host":"h.example","path-prefix":"/order/","type":"non_idempotent","timeout-ms":2000,
 "target-latency-ms":250,"priority":0,"service":"app","max-attempts":1}],
"services":[{"name":"app","health-path":"/healthz","max-conns":100,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

    constexpr int runnerCount = 6;
    constexpr std::size_t vmCount = 3;
    constexpr int downMs = 4000;
    constexpr int entryLapseMs = 3600; // Three intervals of heartbeats.
    constexpr int workMs = 30;
    constexpr int poisonPauseMs = 1000;
    constexpr int orderPauseMs = 50;
    constexpr int durationMs = 40000;
    constexpr int stableWindowMs = 3000;
    constexpr int crashesAllowed = 3;
    constexpr int retriesAllowed = 3;
    constexpr const char* poison = "the request that crashes runners";

    struct Crashes {
        std::vector<std::int64_t> at_;
        int started_ = 0; ///< Runners, for their ids.
    };

    void startRunner(World& world, const std::shared_ptr<Crashes>& crashes);

    void after(World& world, int milliseconds, const std::function<void()>& action)
    {
        auto timer
            = std::make_shared<asio::steady_timer>(world.io(), std::chrono::milliseconds(milliseconds));
        timer->async_wait([timer, action](const asio::error_code&) { action(); });
    }

    void crash(Runner& runner, const std::shared_ptr<Crashes>& crashes)
    {
        crashes->at_.push_back(nowMs());
        record(fmt::format("crash {}: {}", crashes->at_.size(), runner.entry().id_));
        if (hasTrouble())
            runner.goDark();
        else
            runner.stop();
        World& world = runner.world();
        after(world, entryLapseMs, [&runner] { runner.removeEntry(); });
        after(world, downMs, [&world, crashes] { startRunner(world, crashes); });
    }

    void startRunner(World& world, const std::shared_ptr<Crashes>& crashes)
    {
        auto answer = [crashes](Runner& runner, const std::shared_ptr<TcpLink>& link, const HttpHead& head,
                          const std::string& body) {
            const std::string* id = findHeader(head, "Fescuewinch-Request-Id");
            if (body == poison) {
                record(fmt::format("{} begins to run {}", runner.entry().id_, id ? *id : ""));
                return crash(runner, crashes);
            }
            after(runner.world(), workMs, [&runner, link, text = stamped(head, "done")] {
                if (!runner.isDark())
                    link->send(text);
            });
        };
        world.addRunnerHere({ fmt::format("i-app-{}", ++crashes->started_), "app" }, answer);
    }

} // namespace

int darkCrash()
{
    World world(config);
    auto crashes = std::make_shared<Crashes>();
    world.run([&] {
        for (int i = 0; i < runnerCount; ++i)
            startRunner(world, crashes);
    });
    for (std::size_t i = 0; i < vmCount; ++i)
        world.addVm();
    world.awaitReady();
    sleepMs(4000);
    std::int64_t end = nowMs() + durationMs;
    std::atomic<int> orders { 0 };
    std::atomic<int> lost { 0 };
    std::thread ordinary([&] {
        while (nowMs() < end) {
            int number = ++orders;
            ClientRequest request;
            request.path_ = "/order/1";
            request.id_ = fmt::format("order-{}", number);
            request.body_ = fmt::format("order {}", number);
            int status
                = attempt(world.vm(static_cast<std::size_t>(number) % vmCount).port(), request).status_;
            if (status != 200) {
                ++lost;
                record(fmt::format("{}: {}", request.id_, status));
            }
            sleepMs(orderPauseMs);
        }
    });
    for (int i = 1; nowMs() < end; ++i) {
        ClientRequest request;
        request.path_ = "/order/2";
        request.id_ = fmt::format("poison-{}", i);
        request.body_ = poison;
        Vm& vm = world.vm(static_cast<std::size_t>(i) % vmCount);
        int status = attempt(vm.port(), request).status_;
        record(fmt::format("{} at {}: {}", request.id_, vm.name(), status));
        sleepMs(poisonPauseMs);
    }
    ordinary.join();
    int retries = 0;
    world.run([&] {
        for (std::size_t i = crashesAllowed; i < crashes->at_.size(); ++i)
            retries += crashes->at_[i] > crashes->at_[crashesAllowed - 1] + stableWindowMs ? 1 : 0;
        record(fmt::format(
            "{} crashes; {} of them later than {} ms after the third one; {} of {} other orders failed",
            crashes->at_.size(), retries, stableWindowMs, lost.load(), orders.load()));
    });
    return retries > retriesAllowed ? broken : held;
}

} // namespace review
