#pragma once

/** \file
 * FreePort: a port for a process that is given its addresses by a settings file.
 */

#include <asio/io_context.hpp>

namespace fescue::test {

/** A port of this machine that nothing listens on. It lies below the range from which the kernel takes ports
 * for outgoing connections, so none of them takes it before the process binds it. */
int freePort(asio::io_context& io);

} // namespace fescue::test
