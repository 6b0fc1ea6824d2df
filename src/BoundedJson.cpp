#include "BoundedJson.h"

namespace fescue {

using nlohmann::json;

json parseBoundedJson(const std::string& text)
{
    bool isTooDeep = false;
    auto value = json::parse(
        text,
        [&isTooDeep](int depth, json::parse_event_t, const json&) {
            isTooDeep = isTooDeep || depth > maxJsonDepth;
            return !isTooDeep;
        },
        false);
    return isTooDeep ? json(json::value_t::discarded) : value;
}

} // namespace fescue
