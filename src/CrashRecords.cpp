#include "CrashRecords.h"

#include "RequestDigest.h"

#include <nlohmann/json.hpp>

namespace fescue {

namespace {

    using nlohmann::json;

    // A key is `crash:<digest>:<writer>`. A VM's own entry has its name as key, which has no colon.
    constexpr std::string_view keyPrefix = "crash:";
    constexpr std::size_t digestLength = 16;

    bool parseValue(const std::string& value, StoredCrashes& stored)
    {
        json document = json::parse(value, nullptr, false);
        if (!document.is_array() || document.size() != 2 || !document[0].is_number_integer()
            || !document[1].is_array())
            return false;
        stored.recordedAt_ = Milliseconds { document[0].get<std::int64_t>() };
        for (const json& crash : document[1]) {
            if (!crash.is_string())
                return false;
            stored.crashes_.insert({ crash.get<std::string>() });
        }
        return true;
    }

} // namespace

bool isCrashRecord(const std::string& key) { return key.rfind(keyPrefix, 0) == 0; }

std::string crashRecordKey(ContentDigest digest, const WriterId& writer)
{
    return std::string(keyPrefix) + textOf(digest) + ":" + writer.value_;
}

std::string crashRecordValue(const std::set<CrashId>& crashes, Milliseconds recordedAt)
{
    json list = json::array();
    for (const CrashId& crash : crashes)
        list.push_back(crash.value_);
    return json::array({ recordedAt.count(), list }).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<StoredCrashes> parseCrashRecord(const std::string& key, const std::string& value)
{
    std::size_t writerAt = keyPrefix.size() + digestLength + 1;
    if (!isCrashRecord(key) || key.size() <= writerAt || key[writerAt - 1] != ':')
        return std::nullopt;
    auto digest = parseDigest(std::string_view(key).substr(keyPrefix.size(), digestLength));
    if (!digest)
        return std::nullopt;
    StoredCrashes stored;
    stored.digest_ = *digest;
    stored.writer_ = { key.substr(writerAt) };
    if (!value.empty() && !parseValue(value, stored))
        return std::nullopt;
    return stored;
}

} // namespace fescue
