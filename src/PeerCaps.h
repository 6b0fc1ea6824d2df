#pragma once

/** \file
 * PeerCaps: the CBOR messages in which entry VMs ask for permits of workspaces.
 */

#include "CapTerms.h"

#include <optional>
#include <string>

namespace fescue {

std::string encode(const StockReport& message);
std::string encode(const GrantReply& message);

/** Parse messages; return nothing if the bytes are malformed. Pure, like the functions above. */
std::optional<StockReport> parseStockReport(const std::string& bytes);
std::optional<GrantReply> parseGrantReply(const std::string& bytes);

} // namespace fescue
