#include "SettingsFile.h"

#include "EventLog.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace fescue {

namespace {

    // How long a valid file must have stayed the same.
    constexpr Milliseconds settleTime { 20 };
    constexpr Milliseconds settleTimeInsideLine { 200 };
    // The platform writes the file within this time.
    constexpr Milliseconds maxWriteTime { 3000 };
    constexpr Milliseconds maxCountedInterval { 30 };

    std::optional<std::string> readText(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            return std::nullopt;
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    Milliseconds settleTimeOf(const std::string& text)
    {
        bool endsInsideLine = text.empty() || text.back() != '\n';
        return endsInsideLine ? settleTimeInsideLine : settleTime;
    }

} // namespace

std::optional<SettingsResult> readSettingsFile(SettingsFile& file, MonotonicTime now)
{
    auto text = readText(file.path_);
    // Time in which this process did not run is none in which the file was written.
    Milliseconds passed
        = file.readAt_ ? std::min(now - *file.readAt_, maxCountedInterval) : Milliseconds { 0 };
    bool isSame = file.readAt_ && text == file.text_;
    file.readAt_ = now;
    file.readingFor_ += passed;
    file.sameFor_ = isSame ? file.sameFor_ + passed : Milliseconds { 0 };
    file.text_ = std::move(text);
    bool isOverdue = file.readingFor_ >= maxWriteTime;
    bool isSettled = file.text_ && file.sameFor_ >= settleTimeOf(*file.text_);
    if (!isOverdue && !isSettled)
        return std::nullopt;
    if (!file.text_)
        return tl::make_unexpected(
            platform::DocumentError { file.path_, "cannot be opened; check the path" });
    SettingsResult settings = platform::decodeSettings(*file.text_, file.defaults_);
    bool isComplete = settings && settings->defaulted_.empty();
    bool isWanted = settings ? isSettled && (isComplete || isOverdue) : isOverdue;
    return isWanted ? std::optional(std::move(settings)) : std::nullopt;
}

void logDefaultedSettings(const platform::SettingsDocument& document)
{
    if (document.defaulted_.empty())
        return;
    std::string fields;
    for (const std::string& field : document.defaulted_)
        fields += (fields.empty() ? "" : ", ") + field;
    logWarning("settings-incomplete",
        "the settings file does not name these fields, or no usable value of them; defaults are used",
        { { "fields", fields } });
}

} // namespace fescue
