#include "SoakComponents.h"

#include "BootClock.h"
#include "FreePort.h"

#include <asio/steady_timer.hpp>
#include <csignal>
#include <deque>
#include <fmt/format.h>
#include <fstream>
#include <utility>

namespace fescue::test {

namespace {

    using asio::ip::tcp;

    // `grace-s` of the settings (6 s) plus a margin for a busy machine.
    constexpr Milliseconds stopTimeout { 7000 };
    constexpr Milliseconds restartDelay { 100 };
    // SIGTERM keeps its default effect until the loader is done; this is long for a busy machine.
    constexpr Milliseconds loadTime { 1000 };
    constexpr std::size_t quotedLogLines = 5;
    constexpr Milliseconds settleTime { 1000 }; // After the VM was disturbed.
    constexpr Milliseconds checkInterval { 100 };
    constexpr int ok = 200;

    SoakRequestKind kindOf(const std::string& path)
    {
        if (path.rfind("/turn/", 0) == 0)
            return SoakRequestKind::Turn;
        if (path.rfind("/kept/", 0) == 0)
            return SoakRequestKind::KeptTurn;
        return path.rfind("/call/", 0) == 0 ? SoakRequestKind::Call : SoakRequestKind::Read;
    }

    const char* pathOf(SoakRequestKind kind)
    {
        switch (kind) {
        case SoakRequestKind::Turn:
            return "/turn/x";
        case SoakRequestKind::KeptTurn:
            return "/kept/x";
        case SoakRequestKind::Call:
            return "/call/x";
        case SoakRequestKind::Read:
            break;
        }
        return "/read/x";
    }

    std::string lastLines(const std::string& file, std::size_t count)
    {
        std::ifstream log(file);
        std::deque<std::string> lines;
        for (std::string line; std::getline(log, line);) {
            lines.push_back(line);
            if (lines.size() > count)
                lines.pop_front();
        }
        std::string text;
        for (const std::string& line : lines)
            text += "\n    log: " + line;
        return text;
    }

    // Runs a function after a delay. The handler owns the timer until then.
    void runAfter(asio::io_context& io, Milliseconds time, std::function<void()> function)
    {
        auto timer = std::make_shared<asio::steady_timer>(io, time);
        timer->async_wait([timer, function = std::move(function)](const asio::error_code&) { function(); });
    }

    // Sends the events of a stream one by one, then ends it. With `breaksOff`, stops in the last event:
    // aborts, or closes the connection if the answer has no other end.
    struct EventSender : std::enable_shared_from_this<EventSender> {
        asio::io_context& io_;
        std::shared_ptr<FrontReply> reply_;
        std::string body_;
        bool breaksOff_;
        bool isUnframed_;

        EventSender(asio::io_context& io, std::shared_ptr<FrontReply> reply, std::string body, bool breaksOff,
            bool isUnframed)
            : io_(io)
            , reply_(std::move(reply))
            , body_(std::move(body))
            , breaksOff_(breaksOff)
            , isUnframed_(isUnframed)
        {
        }

        void sendNext()
        {
            constexpr Milliseconds gap { 8 };
            std::size_t end = body_.find("\n\n");
            if (end == std::string::npos)
                return reply_->end();
            std::string event = body_.substr(0, end + 2);
            body_.erase(0, end + 2);
            if (breaksOff_ && body_.empty()) {
                reply_->write(event.substr(0, event.size() / 2));
                return isUnframed_ ? reply_->end() : reply_->abort();
            }
            reply_->write(event);
            runAfter(io_, gap, [self = shared_from_this()] { self->sendNext(); });
        }
    };

} // namespace

std::string soakHeaders(const std::string& id, const SoakRequest& request, std::int64_t budget)
{
    std::string headers = "Fescuewinch-Request-Id: " + id;
    if (request.kind_ == SoakRequestKind::Turn || request.kind_ == SoakRequestKind::KeptTurn)
        headers += fmt::format("\nFescuewinch-Program-Id: {}\nFescuewinch-Session-Id: {}\n"
                               "Fescuewinch-Token-Budget: {}\nFescuewinch-Token-Count: 100,{}",
            request.program_, request.program_, budget, soakMaxTurnTokens);
    if (!request.previous_.empty())
        headers += "\nFescuewinch-Previous-Turn: " + request.previous_;
    if (!request.resumes_.empty())
        headers += "\nResumes: " + request.resumes_ + "\nLast-Event-Id: 1";
    return headers;
}

std::string makeSoakConfig(std::uint64_t version, bool isOther)
{
    return fmt::format(R"({{"version":{0},"routes":[
{{"name":"turns","host":"h.example","path-prefix":"/turn/","type":"streaming","timeout-ms":{1},"service":"llm",
 "max-attempts":1,"retained":false,"retention-s":60.0,"resumable":true,"priority":{2}}},
{{"name":"conversations","host":"h.example","path-prefix":"/kept/","type":"streaming","timeout-ms":{1},"service":"llm",
 "max-attempts":1,"retained":true,"retention-s":60.0,"priority":{2}}},
{{"name":"reads","host":"h.example","path-prefix":"/read/","type":"idempotent","timeout-ms":{1},"service":"app",
 "max-attempts":2}},
{{"name":"calls","host":"h.example","path-prefix":"/call/","type":"non_idempotent","timeout-ms":{1},"service":"app",
 "max-attempts":2}}],
"services":[{{"name":"llm","engine":{{"slots":12,"tokens-per-event":{3}}}}},{{"name":"app"}}],
"limits":{{"max-header-bytes":8192,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}})",
        version, isOther ? 2000 : soakRouteTimeout.count(), isOther ? 1 : 0, soakTokensPerEvent);
}

OutboundRequest makeSoakRequest(
    int port, SoakRequestKind kind, const std::string& id, const std::string& headers)
{
    OutboundRequest request;
    request.peer_ = { asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port) };
    request.head_.method_ = kind == SoakRequestKind::Read ? "GET" : "POST";
    request.head_.target_ = pathOf(kind);
    request.head_.headers_.push_back({ "Host", "h.example" });
    std::istringstream lines(headers);
    for (std::string line; std::getline(lines, line);)
        request.head_.headers_.push_back(
            { line.substr(0, line.find(": ")), line.substr(line.find(": ") + 2) });
    if (kind != SoakRequestKind::Read)
        request.body_ = soakRequestBody(id);
    request.connectTimeout_ = Milliseconds { 1000 };
    request.acceptsUnframed_ = true;
    return request;
}

SoakTarget::SoakTarget(asio::io_context& io, std::string id, SoakHistory& history, std::uint64_t seed)
    : io_(io)
    , id_(std::move(id))
    , history_(history)
    , random_(seed)
    , server_(std::make_unique<SoakServer>(
          io,
          [this](const FrontRequest& request, const std::shared_ptr<FrontReply>& reply) {
              handleRequest(request, reply);
          },
          [this](int, const char* reason, const HttpHead*) {
              history_.violations_.push_back(fmt::format("{} received an invalid request: {}", id_, reason));
          }))
    , proxy_(std::make_unique<SoakProxy>(io, server_->port()))
{
}

std::string SoakTarget::entry(const std::string& state) const
{
    // Targets with an even number are engines, the others serve calls.
    bool isEngine = (id_.back() - '0') % 2 == 0;
    return fmt::format(
        R"({{"service":"{}","address":"127.0.0.1:{}","zone":"za","version":"{}","slots":12,"state":"{}"}})",
        isEngine ? "llm" : "app", proxy_->port(), version(), state);
}

// Engines of two versions serve side by side.
std::string SoakTarget::version() const
{
    int number = std::stoi(id_.substr(id_.find('-') + 1));
    return number / 2 % 2 == 0 ? "v1" : "v2";
}

HttpHead SoakTarget::answerHead(int status, const std::string& request)
{
    HttpHead head;
    head.status_ = status;
    head.headers_ = { { "Fescuewinch-Request-Id", request }, { "Fescuewinch-Instance-Load", "1,0,8" } };
    if (saysItLeaves_) {
        head.headers_.push_back({ "Server-Leaving", "1" });
        history_.leavingAnswers_[request] = id_;
    }
    return head;
}

void SoakTarget::handleRequest(const FrontRequest& request, const std::shared_ptr<FrontReply>& reply)
{
    constexpr std::size_t percent = 100;
    const std::string* id = findHeader(request.head_, "Fescuewinch-Request-Id");
    const std::string* expected = findHeader(request.head_, "Fescuewinch-Expect-Instance");
    std::string name = id ? *id : "a request without an id";
    std::size_t roll = std::uniform_int_distribution<std::size_t>(0, percent - 1)(random_);
    bool isOther = expected && *expected != id_;
    if (!isOther)
        recordArrival(history_, name, id_);
    constexpr std::size_t refusalPercent = 5;
    if (isOther || (isFaulty_ && roll < refusalPercent)) {
        HttpHead head = answerHead(isOther ? 421 : 503, name);
        head.headers_.push_back({ "Fescuewinch-Not-Executed", "1" });
        return reply->answer(std::move(head), {});
    }
    recordTargetRun(history_, name, id_);
    if (kindOf(request.head_.target_) == SoakRequestKind::KeptTurn)
        checkKeptText(history_, name, request.body_);
    lastRun_ = bootNow();
    constexpr std::size_t abortPercent = 8;
    if (isFaulty_ && roll < abortPercent)
        return reply->abort();
    Milliseconds serviceTime { static_cast<std::int64_t>(3 + roll / 2) };
    auto isDisconnected = std::make_shared<bool>(false);
    reply->onDisconnect([isDisconnected] { *isDisconnected = true; });
    runAfter(io_, serviceTime, [this, name, kind = kindOf(request.head_.target_), reply, isDisconnected] {
        if (!*isDisconnected)
            run(name, kind, reply);
    });
}

void SoakTarget::run(
    const std::string& request, SoakRequestKind kind, const std::shared_ptr<FrontReply>& reply)
{
    constexpr std::size_t breakOffInterval = 12;
    HttpHead head = answerHead(200, request);
    head.headers_.push_back({ "Fescuewinch-Response-Stamp", "stamp-of-" + id_ });
    if (kind == SoakRequestKind::Read || kind == SoakRequestKind::Call)
        return reply->answer(std::move(head), soakResponseBody(request, kind));
    if (kind == SoakRequestKind::Turn)
        recordStreamVersion(history_, request, version());
    bool breaksOff = isFaulty_ && random_() % breakOffInterval == 0;
    bool isUnframed = isFaulty_ && random_() % 3 == 0;
    head.framing_ = isUnframed ? BodyFraming::UntilClose : BodyFraming::Delimited;
    reply->begin(std::move(head));
    std::make_shared<EventSender>(io_, reply, soakResponseBody(request, kind), breaksOff, isUnframed)
        ->sendNext();
}

SoakVm::SoakVm(asio::io_context& io, std::uint16_t storePort, std::string name, const std::string& zone,
    const std::string& folder, ChooseProgram chooseProgram)
    : name_(std::move(name))
    , callerPort_(findFreePort(io))
    , readyPort_(findFreePort(io))
    , storeProxy_(std::make_unique<SoakProxy>(io, storePort))
    , settingsFile_(folder + "/" + name_ + ".yaml")
    , logFile_(folder + "/" + name_ + ".log")
    , chooseProgram_(std::move(chooseProgram))
    , readinessChecks_(io)
{
    std::ofstream(settingsFile_) << fmt::format(
        "node-name: {}\nip: 127.0.0.1\nzone: {}\nport-range: [ {}, 0 ]\nheartbeat-ms: 1000\n"
        "listen: {{ frontend: '127.0.0.1:{}', ready: '127.0.0.1:{}' }}\n"
        "limits: {{ cpu-quota: 1, memory-mb: 100 }}\n"
        "bounds: {{ drain-ms: 2000, grace-s: 6, config-apply-ms: 2000, settle-ms: 1000 }}\n"
        "platform: {{ address: '127.0.0.1:{}', parts: 2 }}\n",
        name_, zone, findFreePort(io), callerPort_, readyPort_, storeProxy_->port());
}

SoakVm::~SoakVm()
{
    if (process_ && process_->isRunning())
        process_->signalAndWait(SIGKILL);
}

void SoakVm::start()
{
    startAt_.reset();
    startedAt_ = bootNow();
    process_ = std::make_unique<Process>(
        chooseProgram_(), std::vector<std::string> { "--settings=" + settingsFile_ }, 0, logFile_);
}

void SoakVm::kill(Milliseconds downFor)
{
    if (!process_->isRunning())
        return;
    int status = process_->signalAndWait(SIGKILL);
    if (status != -SIGKILL && !hasStopped(status))
        ownEnd_ = violation(fmt::format("ended by itself, status {}, before it was killed", status));
    resumeAt_.reset();
    stoppedAt_.reset();
    startAt_ = bootNow() + downFor;
}

void SoakVm::pause(Milliseconds time)
{
    if (!process_->isRunning())
        return;
    process_->signal(SIGSTOP);
    resumeAt_ = bootNow() + time;
}

void SoakVm::stop()
{
    if (!process_->isRunning() || stoppedAt_)
        return;
    process_->signal(SIGTERM);
    stoppedAt_ = bootNow();
}

void SoakVm::reload()
{
    if (process_->isRunning())
        process_->signal(SIGHUP);
}

void SoakVm::heal()
{
    if (resumeAt_)
        resumeAt_ = bootNow();
    if (startAt_)
        startAt_ = bootNow();
}

std::string SoakVm::tick(MonotonicTime now)
{
    if (startAt_ || resumeAt_ || stoppedAt_)
        disturbedAt_ = now;
    if (resumeAt_ && now >= *resumeAt_) {
        resumeAt_.reset();
        process_->signal(SIGCONT);
        if (stoppedAt_)
            stoppedAt_ = now; // The grace period restarts when the process resumes.
    }
    readinessChecks_.tick(now);
    if (checkedSince_ && now >= nextCheckAt_ && readiness_ != ok)
        sendReadinessCheck(now);
    if (!ownEnd_.empty())
        return std::exchange(ownEnd_, {});
    if (!startAt_ && process_->tryReap()) {
        int status = process_->exitStatus();
        bool isExpected = hasStopped(status);
        const char* what = stoppedAt_ ? "ended while it stopped" : "exited unexpectedly";
        stoppedAt_.reset();
        startAt_ = now + restartDelay;
        return isExpected ? std::string() : violation(fmt::format("{}, status {}", what, status));
    }
    if (startAt_ && now >= *startAt_)
        start();
    if (!stoppedAt_ || resumeAt_ || now < *stoppedAt_ + stopTimeout)
        return {};
    kill(restartDelay);
    return violation("did not exit within its grace period");
}

bool SoakVm::hasStopped(int status) const
{
    bool wasLoading = status == -SIGTERM && stoppedAt_ && *stoppedAt_ < startedAt_ + loadTime;
    return stoppedAt_ && (status == 0 || wasLoading);
}

void SoakVm::checkReadiness()
{
    readiness_ = 0;
    checkedSince_ = bootNow();
    nextCheckAt_ = {};
}

void SoakVm::sendReadinessCheck(MonotonicTime now)
{
    nextCheckAt_ = now + checkInterval;
    OutboundRequest request;
    request.peer_ = { asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(readyPort_) };
    request.head_.method_ = "GET";
    request.head_.target_ = "/readyz";
    request.head_.headers_ = { { "Host", "h.example" } };
    constexpr Milliseconds connectTimeout { 1000 };
    request.connectTimeout_ = connectTimeout;
    OutboundCallbacks callbacks;
    callbacks.onHead_ = [this](const HttpHead& head) {
        if (readiness_ != ok)
            readiness_ = head.status_;
    };
    callbacks.onBody_ = [](const std::string&) {};
    callbacks.onEnd_ = [](const OutboundResult&) {};
    readinessChecks_.send(std::move(request), std::move(callbacks));
}

std::string SoakVm::silence() const
{
    bool wasDisturbed = !checkedSince_ || disturbedAt_ + settleTime >= *checkedSince_;
    if (wasDisturbed || readiness_ == ok)
        return {};
    return violation(fmt::format("did not say that it is ready after the faults, status {}", readiness_));
}

std::string SoakVm::violation(const std::string& what) const
{
    return name_ + " " + what + lastLines(logFile_, quotedLogLines);
}

} // namespace fescue::test
