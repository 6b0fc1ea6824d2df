#include "Frame.h"

#include "CborMessage.h"

namespace fescue {

using nlohmann::json;

namespace {

    // Bodies are encoded as byte strings, since they need not be valid UTF-8.
    json toBinary(const std::string& text) { return json::binary({ text.begin(), text.end() }); }

    std::string getBytes(const json& object, const char* member)
    {
        const auto& bytes = object.at(member).get_binary();
        return { bytes.begin(), bytes.end() };
    }

    std::string getText(const json& object, const char* member)
    {
        return object.at(member).get<std::string>();
    }

    // The JSON library's own conversion would accept -1 or 1.5 as a count.
    std::uint64_t getCount(const json& object, const char* member)
    {
        const json& value = object.at(member);
        if (!value.is_number_unsigned())
            throw std::invalid_argument(std::string(member) + " must be a non-negative integer");
        return value.get<std::uint64_t>();
    }

    std::uint64_t getId(const json& object) { return getCount(object, "id"); }

    json toJson(const RequestFrame& frame)
    {
        return { { "t", "request" }, { "id", frame.id_ }, { "op", static_cast<int>(frame.operation_) },
            { "workspace", frame.workspace_.value_ }, { "program", frame.program_.value_ },
            { "call", frame.call_.value_ }, { "service", frame.service_.value_ }, { "method", frame.method_ },
            { "path", frame.path_ }, { "content_type", frame.contentType_ },
            { "body", toBinary(frame.body_) }, { "timeout_ms", frame.timeoutMs_ },
            { "forced", frame.isForced_ } };
    }

    json toJson(const HeadFrame& frame)
    {
        return { { "t", "head" }, { "id", frame.id_ }, { "status", frame.status_ },
            { "content_type", frame.contentType_ }, { "headers", frame.headers_ } };
    }

    json toJson(const ChunkFrame& frame)
    {
        return { { "t", "chunk" }, { "id", frame.id_ }, { "index", frame.index_ },
            { "data", toBinary(frame.data_) } };
    }

    json toJson(const EndFrame& frame)
    {
        return { { "t", "end" }, { "id", frame.id_ }, { "chunks", frame.chunks_ } };
    }

    json toJson(const MovedFrame& frame)
    {
        return { { "t", "moved" }, { "id", frame.id_ }, { "to", frame.to_.value_ } };
    }

    json toJson(const ViewFrame& frame)
    {
        json members = json::array();
        for (const Member& member : frame.members_)
            members.push_back({ { "vm", member.vm_.value_ }, { "zone", member.zone_.value_ },
                { "address", member.address_ }, { "leaving", member.isLeaving_ },
                { "reachable", member.isReachable_ } });
        return { { "t", "view" }, { "members", std::move(members) }, { "config", frame.config_ } };
    }

    json toJson(const PeerFrame& frame)
    {
        json unheard = json::array();
        for (const VmId& vm : frame.unreachableVms_)
            unheard.push_back(vm.value_);
        return { { "t", "peer" }, { "from", frame.sender_.value_ }, { "zone", frame.zone_.value_ },
            { "address", frame.address_ }, { "leaving", frame.isLeaving_ },
            { "wants", frame.requestsConfig_ }, { "read_to", frame.lastReadOffset_.value_ },
            { "held", frame.ownedShards_ }, { "unheard", std::move(unheard) },
            { "known", frame.peerAddresses_ }, { "config", frame.config_ } };
    }

    json toJson(const WatchFrame& frame)
    {
        return { { "t", "watch" }, { "have", frame.configVersion_.value_ } };
    }

    RequestFrame parseRequest(const json& object)
    {
        auto operation = object.at("op").get<int>();
        if (operation < 0 || operation > static_cast<int>(Operation::ServiceCall))
            throw std::invalid_argument("unknown operation");
        return { getId(object), static_cast<Operation>(operation), { getText(object, "workspace") },
            { getText(object, "program") }, { static_cast<std::uint32_t>(getCount(object, "call")) },
            { getText(object, "service") }, getText(object, "method"), getText(object, "path"),
            getText(object, "content_type"), getBytes(object, "body"),
            object.at("timeout_ms").get<std::int64_t>(), object.at("forced").get<bool>() };
    }

    ViewFrame parseView(const json& object)
    {
        ViewFrame view;
        for (const json& member : object.at("members"))
            view.members_.push_back(
                { { getText(member, "vm") }, { getText(member, "zone") }, getText(member, "address"),
                    member.at("leaving").get<bool>(), member.at("reachable").get<bool>() });
        view.config_ = getText(object, "config");
        return view;
    }

    PeerFrame parsePeer(const json& object)
    {
        PeerFrame peer { { getText(object, "from") }, { getText(object, "zone") }, getText(object, "address"),
            object.at("leaving").get<bool>(), object.at("wants").get<bool>(), { getCount(object, "read_to") },
            object.at("held").get<std::vector<std::uint32_t>>() };
        for (const json& vm : object.at("unheard"))
            peer.unreachableVms_.push_back({ vm.get<std::string>() });
        peer.peerAddresses_ = object.at("known").get<std::map<std::string, std::string>>();
        peer.config_ = getText(object, "config");
        return peer;
    }

    Frame parseObject(const json& object)
    {
        std::string type = getText(object, "t");
        if (type == "request")
            return parseRequest(object);
        if (type == "head")
            return HeadFrame { getId(object), object.at("status").get<int>(), getText(object, "content_type"),
                object.at("headers").get<std::vector<std::pair<std::string, std::string>>>() };
        if (type == "chunk")
            return ChunkFrame { getId(object), getCount(object, "index"), getBytes(object, "data") };
        if (type == "end")
            return EndFrame { getId(object), getCount(object, "chunks") };
        if (type == "moved")
            return MovedFrame { getId(object), { getText(object, "to") } };
        if (type == "view")
            return parseView(object);
        if (type == "peer")
            return parsePeer(object);
        if (type == "watch")
            return WatchFrame { { getCount(object, "have") } };
        throw std::invalid_argument("unknown frame type");
    }

} // namespace

std::string nameOf(Operation operation)
{
    switch (operation) {
    case Operation::CreateProgram:
        return "create-program";
    case Operation::EndProgram:
        return "end-program";
    case Operation::ShowProgram:
        return "show-program";
    case Operation::ListPrograms:
        return "list-programs";
    case Operation::ModelCall:
        return "model-call";
    case Operation::ServiceCall:
        return "service-call";
    }
    return "none";
}

std::string toCbor(const Frame& frame)
{
    return toCborMessage(std::visit([](const auto& typed) { return toJson(typed); }, frame));
}

tl::expected<Frame, FrameError> parseFrame(const std::string& bytes)
{
    auto document = parseCborMessage(bytes);
    if (!document)
        return tl::make_unexpected(FrameError { "the frame is not valid CBOR or is nested too deep" });
    try {
        return parseObject(*document);
    } catch (const std::exception& error) {
        return tl::make_unexpected(FrameError { error.what() });
    }
}

} // namespace fescue
