#pragma once

/** \file
 * EntryWriter: under which writer id and number a VM writes its own entry, so that the store applies each
 * write once and in order.
 */

#include "EventLog.h"
#include "StoreClient.h"

#include <string>

namespace fescue {

/** The writer of the next write of the entry. Confined to the thread of its owner. */
struct EntryWriter {
    Sequence sequence_ { 1 };
    int rejected_ = 0; ///< Writers whose numbers the store does not accept.
};

/** The writer of the next write of a process. Pure. */
inline platform::StoreWriter entryWriterOf(const EntryWriter& writer, const WriterId& process)
{
    std::string suffix = writer.rejected_ == 0 ? std::string() : ".entry" + std::to_string(writer.rejected_);
    return { { process.value_ + suffix }, writer.sequence_ };
}

/** Takes in how the write of `sequence` has ended; `error` is null after a success. */
inline void recordEntryWrite(EntryWriter& writer, Sequence sequence, const platform::StoreError* error)
{
    if (!error) {
        writer.sequence_ = { sequence.value_ + 1 };
        return;
    }
    if (error->failure_ != platform::StoreFailure::OutOfSequence)
        return;
    // Other numbers of this writer may be taken for repeats of what it wrote before, and not be applied.
    ++writer.rejected_;
    writer.sequence_ = { 1 };
    logWarning("announce-sequence",
        "the store rejected the sequence number of this VM's entry; retrying as another writer",
        { { "sequence", std::to_string(sequence.value_) },
            { "rejected", std::to_string(writer.rejected_) } });
}

} // namespace fescue
