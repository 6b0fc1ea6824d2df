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

/** Decodes a message that is an array of `count` fields. Pure, like the functions below. */
std::optional<nlohmann::json> parseCborArray(const std::string& bytes, std::size_t count);

/** Whether the fields from `from` to before `to` of an array have this type. Precondition: it has them. */
bool areNonNegativeIntegers(const nlohmann::json& fields, std::size_t from, std::size_t to);
bool areStrings(const nlohmann::json& fields, std::size_t from, std::size_t to);

} // namespace fescue
