// All open connections to the store fall silent; then the operator moves a route to another service.

#include "CaseKit.h"
#include "Cases.h"
#include "SilentProxy.h"

#include <fmt/format.h>

namespace review {

namespace {

    constexpr int stableWindowMs = 3000;
    constexpr int configApplyMs = 2000;
    constexpr int storeAnswerMs = 4;
    constexpr std::size_t vmCount = 3;
    constexpr int programsAtOnce = 20;
    constexpr int requestIntervalMs = 15;
    constexpr int marginMs = 50;
    constexpr int watchMs = 8000;

    std::string configOf(int version, const std::string& service)
    {
        return fmt::format(R"({{"version":{},"routes":[
{{"name":"turns","host":"h.example","path-prefix":"/turn/","type":"streaming","timeout-ms":3000,
 "target-latency-ms":250,"priority":0,"service":"llm","max-attempts":1,"retained":false,"retention-s":60.0,
 "sticky":true,"resumable":true,"target-gap-ms":300}},
{{"name":"orders","host":"h.example","path-prefix":"/order/","type":"non_idempotent","timeout-ms":2000,
 "target-latency-ms":250,"priority":2,"service":"{}","max-attempts":1}}],
"services":[{{"name":"llm","health-path":"/healthz","max-conns":150,"protocol":"h1","tls":false,
 "engine":{{"slots":12,"kv-capacity":528700,"tokens-per-event":33}}}},
 {{"name":"app-old","health-path":"/healthz","max-conns":100,"protocol":"h1","tls":false}},
 {{"name":"app-new","health-path":"/healthz","max-conns":100,"protocol":"h1","tls":false}}],
"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}})",
            version, service);
    }

    void answerTurn(Runner&, const std::shared_ptr<TcpLink>& link, const HttpHead& head, const std::string&)
    {
        link->send(stamped(head, "id: 1\ndata: a\n\n", "Content-Type: text/event-stream\r\n"));
    }

    void answerOrder(
        Runner& runner, const std::shared_ptr<TcpLink>& link, const HttpHead& head, const std::string&)
    {
        link->send(stamped(head, runner.entry().service_));
    }

    // Begins programs, all at once; each of them needs a claim in the store.
    void beginPrograms(World& world)
    {
        std::atomic<int> served { 0 };
        std::vector<std::thread> clients;
        clients.reserve(programsAtOnce);
        for (int i = 0; i < programsAtOnce; ++i) {
            clients.emplace_back([&, i] {
                ClientRequest request;
                request.path_ = "/turn/1";
                request.id_ = fmt::format("turn-{}", i);
                request.headers_ = { "Fescuewinch-Program-Id: p-" + request.id_, "Fescuewinch-Session-Id: s",
                    "Fescuewinch-Program-Deadline-Ms: 5000", "Fescuewinch-Token-Budget: 4488",
                    "Fescuewinch-Token-Count: 1840,561" };
                request.body_ = "prompt";
                served += attempt(world.vm(static_cast<std::size_t>(i) % vmCount).port(), request).status_
                    == 200;
            });
        }
        for (std::thread& client : clients)
            client.join();
        record(
            fmt::format("{} programs begin at once: {} first turns served", programsAtOnce, served.load()));
    }

} // namespace

int silentStore()
{
    World world(configOf(7, "app-old"));
    std::unique_ptr<SilentProxy> proxy;
    world.run(
        [&] { proxy = std::make_unique<SilentProxy>(world.io(), world.store().port(), storeAnswerMs); });
    for (int i = 0; i < 3; ++i) {
        RunnerEntry llm { fmt::format("i-llm-{}", i), "llm" };
        llm.slots_ = 12;
        world.addRunner(llm, answerTurn);
    }
    for (const char* service : { "app-old", "app-new" }) {
        for (int i = 0; i < 2; ++i)
            world.addRunner({ fmt::format("i-{}-{}", service, i), service }, answerOrder);
    }
    VmOptions options;
    options.storePort_ = proxy->port();
    for (std::size_t i = 0; i < vmCount; ++i)
        world.addVm(options);
    world.awaitReady();
    sleepMs(3000);
    beginPrograms(world);
    sleepMs(500);
    std::int64_t silentAt = nowMs();
    if (hasTrouble()) {
        std::size_t count = 0;
        world.run([&] { count = proxy->silence(); });
        record(fmt::format("the {} open connections to the store fall silent; new ones work", count));
    }
    sleepMs(300);
    world.run([&] { world.store().put("keyed.op", "config", configOf(9, "app-new")); });
    std::int64_t ackAt = nowMs();
    record("version 9 is acknowledged: /order/ belongs to app-new");
    std::int64_t from = std::max(silentAt + stableWindowMs, ackAt + configApplyMs) + marginMs;
    int byOldService = 0;
    for (int i = 0; nowMs() < silentAt + watchMs; ++i) {
        ClientRequest request;
        request.path_ = "/order/1";
        request.id_ = fmt::format("order-{}", i);
        request.body_ = "order";
        Vm& vm = world.vm(static_cast<std::size_t>(i) % vmCount);
        bool isLate = nowMs() > from;
        Attempt result = attempt(vm.port(), request);
        bool isOld = isLate && result.body_ == "app-old";
        byOldService += isOld ? 1 : 0;
        record(fmt::format("{} at {}: {} {}{}", request.id_, vm.name(), result.status_,
            result.status_ == 200 ? result.body_ : "", isOld ? ", as only version 7 allows" : ""));
        sleepMs(requestIntervalMs);
    }
    record(fmt::format(
        "sent later than {} ms after the ack and {} ms after the connections fell silent: {} orders "
        "run by the old service",
        configApplyMs, stableWindowMs, byOldService));
    return byOldService > 0 ? broken : held;
}

} // namespace review
