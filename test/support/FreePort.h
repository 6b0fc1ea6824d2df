#pragma once

/** \file
 * FreePort: finds ports for processes that read their addresses from a settings file.
 */

#include <asio/io_context.hpp>

namespace fescue::test {

/** Returns a local port that nothing listens on. It is below the kernel's ephemeral range, so no outgoing
 * connection can take it before the process binds it. Throws `std::runtime_error` when there is none. */
int findFreePort(asio::io_context& io);

} // namespace fescue::test
