#include "Transcript.h"

#include "Digest.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace fescue {

using nlohmann::json;

namespace {

    std::string canonicalText(const json& message)
    {
        static constexpr std::array<const char*, 5> members { "role", "content", "name", "tool_calls",
            "tool_call_id" };
        json kept = json::object();
        for (const char* member : members) {
            auto found = message.find(member);
            if (found != message.end() && !found->is_null())
                kept[member] = *found;
        }
        return kept.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    bool isMessage(const json& value)
    {
        return value.is_object() && value.contains("role") && value["role"].is_string();
    }

    Problem badRequest(std::string detail)
    {
        return { ProblemKind::BadRequest, RunState::NotRun, std::move(detail), std::nullopt };
    }

    Problem mismatch(const TranscriptHead& stored, std::size_t sent)
    {
        return { ProblemKind::TranscriptMismatch, RunState::NotRun,
            "the program's history has " + std::to_string(stored.messages_) + " messages and the "
                + std::to_string(sent)
                + " messages sent do not start with them; send the whole history of this program",
            std::nullopt };
    }

} // namespace

TranscriptHead extendHead(const TranscriptHead& head, const json& message)
{
    return { head.messages_ + 1, sha256Hex(head.digest_ + canonicalText(message)) };
}

tl::expected<TranscriptDelta, Problem> continueTranscript(
    const TranscriptHead& stored, const json& messages, ByteCount bodySize)
{
    if (!messages.is_array() || messages.empty())
        return tl::make_unexpected(badRequest("\"messages\" must be a non-empty array"));
    if (!std::all_of(messages.begin(), messages.end(), isMessage))
        return tl::make_unexpected(badRequest("each of \"messages\" must be an object with a \"role\""));
    if (messages.size() <= stored.messages_)
        return tl::make_unexpected(mismatch(stored, messages.size()));
    TranscriptHead head;
    std::int64_t storedBytes = 0;
    json added = json::array();
    for (const json& message : messages) {
        bool isStored = head.messages_ < stored.messages_;
        head = extendHead(head, message);
        if (isStored)
            storedBytes += static_cast<std::int64_t>(message.dump().size());
        else
            added.push_back(message);
        if (head.messages_ == stored.messages_ && head != stored)
            return tl::make_unexpected(mismatch(stored, messages.size()));
    }
    ByteCount newBytes { std::max<std::int64_t>(bodySize.value_ - storedBytes, 0) };
    return TranscriptDelta { head, added.dump(), newBytes };
}

} // namespace fescue
