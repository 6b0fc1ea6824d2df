#pragma once

/** \file
 * SettingsFile: reads a VM's settings file, which may be in the middle of being written.
 *
 * A file that is missing, or that is no valid settings file, is read again for a while. One that is valid may
 * still be cut, in a number for example, so it counts once it has not changed for a moment, and for longer if
 * its last line has no end. If it lacks fields that platforms name for each VM, it counts only once the time
 * for writing it is over.
 */

#include "BootClock.h"
#include "SettingsDocument.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace fescue {

/** A file that is being read. */
struct SettingsFile {
    std::string path_;
    VmSettings defaults_; ///< Of fields that are not there.
    std::optional<std::string> text_; ///< As last read; nothing if it could not be opened.
    std::optional<MonotonicTime> readAt_; ///< Last.
    Milliseconds readingFor_ { 0 }; ///< While this process ran.
    Milliseconds sameFor_ { 0 }; ///< How much of it the text has been the same.
};

using SettingsResult = tl::expected<platform::SettingsDocument, platform::DocumentError>;

/** Reads the file once. Returns nothing while a later read may find other settings, and an error when it has
 * not become valid for some seconds. Not thread-safe; blocks for the read. */
std::optional<SettingsResult> readSettingsFile(SettingsFile& file, MonotonicTime now);

/** Logs which fields have their defaults since the file does not name them. */
void logDefaultedSettings(const platform::SettingsDocument& document);

} // namespace fescue
