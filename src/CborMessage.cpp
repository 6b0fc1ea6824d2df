#include "CborMessage.h"

namespace fescue {

using nlohmann::json;

std::string toCborMessage(const json& document)
{
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

std::optional<json> parseCborMessage(const std::string& bytes)
{
    // Even without exceptions, the library throws if an array or object claims to exceed the address space.
    try {
        json document = json::from_cbor(bytes, true, false);
        if (!document.is_discarded())
            return document;
    } catch (const json::out_of_range&) {
    }
    return std::nullopt;
}

} // namespace fescue
