#pragma once

/** \file
 * CborMessage: encodes and decodes messages between processes. For source files only, since it includes the
 * JSON library.
 */

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace fescue {

/** Encodes a document as CBOR. Pure. */
std::string toCborMessage(const nlohmann::json& document);

/** Decodes a message. Nothing if it is malformed, whatever its bytes. Pure. */
std::optional<nlohmann::json> parseCborMessage(const std::string& bytes);

} // namespace fescue
