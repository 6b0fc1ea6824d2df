#include "ParseHttp.h"

#include "ProgramId.h"

#include <charconv>

namespace fescue {

namespace {

    constexpr std::string_view programsPath = "/v1/programs";
    constexpr std::string_view chatPath = "/v1/chat/completions";
    constexpr std::string_view servicesPath = "/v1/services/";
    constexpr std::string_view bearer = "Bearer ";

    tl::unexpected<Problem> notRun(ProblemKind kind, std::string detail)
    {
        return tl::make_unexpected(Problem { kind, RunState::NotRun, std::move(detail), std::nullopt });
    }

    tl::unexpected<Problem> unknownPath()
    {
        return notRun(ProblemKind::UnknownPath,
            "no such path; use /v1/programs, /v1/chat/completions or /v1/services/<service>/<path>");
    }

    bool startsWith(std::string_view text, std::string_view prefix)
    {
        return text.substr(0, prefix.size()) == prefix;
    }

    tl::expected<WorkspaceId, Problem> authenticate(const HttpRequest& request, const Manifest& manifest)
    {
        std::string header = headerOf(request, "authorization");
        WorkspaceId workspace;
        if (startsWith(header, bearer))
            workspace = workspaceOfKey(manifest, header.substr(bearer.size()));
        if (workspace.empty())
            return notRun(ProblemKind::Unauthenticated,
                "send \"Authorization: Bearer <key>\" with a key of a workspace of the manifest");
        return workspace;
    }

    tl::expected<void, Problem> parseProgramHeaders(const HttpRequest& request, RequestFrame& frame)
    {
        frame.program_ = { headerOf(request, "fescue-program") };
        std::string number = headerOf(request, "fescue-call");
        if (frame.program_.empty() && number.empty())
            return {};
        if (frame.program_.empty())
            return notRun(ProblemKind::BadRequest, "Fescue-Call needs the program's id in Fescue-Program");
        if (!shardOf(frame.program_))
            return notRun(ProblemKind::BadRequest, "Fescue-Program is not the id of a program");
        const char* end = number.data() + number.size();
        auto parsed = std::from_chars(number.data(), end, frame.call_.value_);
        if (number.empty() || parsed.ec != std::errc() || parsed.ptr != end || frame.call_.value_ == 0)
            return notRun(
                ProblemKind::BadRequest, "Fescue-Call must be the call's number in its program, from 1");
        return {};
    }

    tl::expected<void, Problem> parseProgramRoute(const HttpRequest& request, RequestFrame& frame)
    {
        std::string rest = request.path_.substr(programsPath.size());
        if (rest.empty() || rest == "/") {
            if (request.method_ != "POST" && request.method_ != "GET")
                return notRun(ProblemKind::WrongMethod, "use POST to create a program or GET to list yours");
            frame.operation_ = request.method_ == "POST" ? Operation::CreateProgram : Operation::ListPrograms;
            return {};
        }
        frame.program_ = { rest.substr(1) };
        if (rest.front() != '/')
            return unknownPath();
        if (!shardOf(frame.program_))
            return notRun(ProblemKind::BadRequest, "\"" + rest + "\" is not the id of a program");
        if (request.method_ != "GET" && request.method_ != "DELETE")
            return notRun(ProblemKind::WrongMethod, "use GET to show a program or DELETE to end it");
        frame.operation_ = request.method_ == "GET" ? Operation::ShowProgram : Operation::EndProgram;
        return {};
    }

    tl::expected<void, Problem> parseServiceRoute(const HttpRequest& request, RequestFrame& frame)
    {
        std::string rest = request.path_.substr(servicesPath.size());
        auto slash = rest.find('/');
        frame.operation_ = Operation::ServiceCall;
        frame.service_ = { rest.substr(0, slash) };
        frame.path_ = slash == std::string::npos ? "/" : rest.substr(slash);
        if (!request.query_.empty())
            frame.path_ += "?" + request.query_;
        if (frame.service_.empty())
            return notRun(ProblemKind::UnknownPath, "the path must be /v1/services/<service>/<path>");
        return parseProgramHeaders(request, frame);
    }

    tl::expected<void, Problem> parseRoute(const HttpRequest& request, RequestFrame& frame)
    {
        if (startsWith(request.path_, programsPath))
            return parseProgramRoute(request, frame);
        if (startsWith(request.path_, servicesPath))
            return parseServiceRoute(request, frame);
        if (request.path_ != chatPath)
            return unknownPath();
        if (request.method_ != "POST")
            return notRun(ProblemKind::WrongMethod, "use POST for model calls");
        frame.operation_ = Operation::ModelCall;
        return parseProgramHeaders(request, frame);
    }

} // namespace

tl::expected<RequestFrame, Problem> parseHttp(const HttpRequest& request, const Manifest& manifest)
{
    auto workspace = authenticate(request, manifest);
    if (!workspace)
        return tl::make_unexpected(workspace.error());
    RequestFrame frame;
    frame.workspace_ = *workspace;
    frame.method_ = request.method_;
    frame.contentType_ = headerOf(request, "content-type");
    frame.body_ = request.body_;
    auto routed = parseRoute(request, frame);
    if (!routed)
        return tl::make_unexpected(routed.error());
    return frame;
}

HttpResponse toResponse(const Problem& problem)
{
    HttpResponse response { httpStatusOf(problem.kind_), "application/problem+json", toJsonText(problem),
        {} };
    response.headers_.emplace_back("Fescue-Run-State", std::string(nameOf(problem.runState_)));
    if (auto seconds = retryAfterSeconds(problem))
        response.headers_.emplace_back("Retry-After", *seconds);
    return response;
}

} // namespace fescue
