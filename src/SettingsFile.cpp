#include "SettingsFile.h"

#include <fstream>
#include <sstream>

namespace fescue {

namespace {

    // How long a valid file must have stayed the same.
    constexpr Milliseconds settleTime { 20 };
    constexpr Milliseconds settleTimeInsideLine { 200 };
    // The platform writes the file within this time.
    constexpr Milliseconds maxWriteTime { 3000 };

    std::optional<std::string> readText(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            return std::nullopt;
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    bool endsInsideLine(const std::string& text) { return text.empty() || text.back() != '\n'; }

} // namespace

std::optional<SettingsResult> readSettingsFile(SettingsFile& file, MonotonicTime now)
{
    auto text = readText(file.path_);
    if (!file.firstReadAt_ || text != file.text_)
        file.sameSince_ = now;
    if (!file.firstReadAt_)
        file.firstReadAt_ = now;
    file.text_ = std::move(text);
    bool isOverdue = now >= *file.firstReadAt_ + maxWriteTime;
    if (!file.text_) {
        if (!isOverdue)
            return std::nullopt;
        return tl::make_unexpected(
            platform::DocumentError { file.path_, "cannot be opened; check the path" });
    }
    SettingsResult settings = platform::decodeSettings(*file.text_);
    Milliseconds required = endsInsideLine(*file.text_) ? settleTimeInsideLine : settleTime;
    bool isSettled = settings && now >= file.sameSince_ + required;
    if (!isSettled && !isOverdue)
        return std::nullopt;
    return settings;
}

} // namespace fescue
