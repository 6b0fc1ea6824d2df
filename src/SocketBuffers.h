#pragma once

/** \file
 * SocketBuffers: how much the kernel may hold for each connection of a VM.
 *
 * Bytes that were received and not read, or written and not acknowledged, are held by the kernel and count
 * towards the memory of the VM. Nothing but the sizes of the buffers bounds them: by default they grow to
 * megabytes. So listening sockets hand out narrow buffers, which connections that wait to be accepted have,
 * too. An accepted connection gets a wide receive buffer, and while an answer does not fit a wide send
 * buffer, as long as a part of the memory is left for these:
 *
 *     listening socket -- narrow --> accept queue -- narrow --> connection
 *                                                 \- wide, while there is room --> connection
 *
 * A send buffer below the size of a segment, 64 KB on the loopback interface, is sent as segments that are
 * not full, of which each second one waits for a delayed acknowledgement: some 1 MB a second.
 *
 * All functions are pure.
 */

#include <cstddef>

namespace fescue {

/** Sizes of the buffers of a socket, in bytes as they are set. */
struct SocketBuffers {
    int receive_ = 0;
    int send_ = 0;
};

/** Buffers that any number of connections may have. */
constexpr SocketBuffers narrowBuffers { 4096, 4096 };
/** Buffers that take an ordinary request or response at once. */
constexpr SocketBuffers wideBuffers { 32 * 1024, 64 * 1024 };
/** Buffers of connections to targets and other VMs. What is sent on them is a copy of a request that the
 * budget has counted. */
constexpr SocketBuffers outboundBuffers { 16 * 1024, 64 * 1024 };
/** Buffers of connections to the store, whose responses are large. */
constexpr SocketBuffers storeBuffers { 64 * 1024, 64 * 1024 };

/** Connections that may wait to be accepted. */
constexpr int maxAcceptQueue = 512;

/** The most memory that the kernel takes for a socket: it doubles the sizes, for its bookkeeping. */
constexpr std::size_t costOf(const SocketBuffers& buffers)
{
    constexpr std::size_t kernelFactor = 2;
    return kernelFactor
        * (static_cast<std::size_t>(buffers.receive_) + static_cast<std::size_t>(buffers.send_));
}

/** What buffers cost beyond narrow ones. Precondition: they are not smaller. */
constexpr std::size_t extraCostOf(const SocketBuffers& buffers)
{
    return costOf(buffers) - costOf(narrowBuffers);
}

} // namespace fescue
