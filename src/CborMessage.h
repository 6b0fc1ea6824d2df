#pragma once

/** \file
 * CborMessage: encodes the messages between entry VMs. For source files only, since it includes the JSON
 * library.
 */

#include <nlohmann/json.hpp>
#include <string>

namespace fescue {

/** Encodes a document as CBOR. Pure. */
inline std::string toCborMessage(const nlohmann::json& document)
{
    std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(document);
    return { bytes.begin(), bytes.end() };
}

} // namespace fescue
