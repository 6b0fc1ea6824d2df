#include "Settings.h"

#include "EventLog.h"
#include "StartSignals.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

namespace fescue {

const char* const versionText = "0.1.0";

namespace {

    using FlagInfo = gflags::CommandLineFlagInfo;

    // gflags defines flags of its own; they come from its source files or have no description.
    bool isProjectFlag(const FlagInfo& flag)
    {
        return flag.filename.find("gflags") == std::string::npos && !flag.description.empty();
    }

    std::vector<FlagInfo> projectFlags()
    {
        std::vector<FlagInfo> all;
        gflags::GetAllFlags(&all);
        all.erase(
            std::remove_if(all.begin(), all.end(), [](const FlagInfo& flag) { return !isProjectFlag(flag); }),
            all.end());
        return all;
    }

    std::string environmentName(const std::string& flag)
    {
        std::string name = "FESCUE_" + flag;
        for (char& c : name)
            c = static_cast<char>(c >= 'a' && c <= 'z' ? c - 'a' + 'A' : c);
        return name;
    }

    [[noreturn]] void showHelp(const ProgramInfo& program)
    {
        std::cout << program.usage_
                  << "\n\nSettings (flag, or environment variable in capitals with FESCUE_):\n";
        for (const FlagInfo& flag : projectFlags()) {
            std::cout << "  --" << flag.name << " (" << flag.type;
            if (!flag.default_value.empty())
                std::cout << ", default " << flag.default_value;
            std::cout << ")\n      " << flag.description << "\n";
        }
        std::exit(0);
    }

    void setFlag(const std::string& name, const std::string& value, const std::string& displayName)
    {
        FlagInfo known;
        if (!gflags::GetCommandLineFlagInfo(name.c_str(), &known) || !isProjectFlag(known))
            exitWithInvalidSetting(displayName, "unknown setting; see --help");
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
            exitWithInvalidSetting(displayName, "\"" + value + "\" is not a value of type " + known.type);
    }

    bool isBoolean(const std::string& name)
    {
        FlagInfo known;
        return gflags::GetCommandLineFlagInfo(name.c_str(), &known) && known.type == "bool";
    }

    void readEnvironment()
    {
        for (const FlagInfo& flag : projectFlags()) {
            std::string variable = environmentName(flag.name);
            if (const char* value = std::getenv(variable.c_str()))
                setFlag(flag.name, value, variable);
        }
    }

    // Sets the flag at `arguments[i]`; returns the number of arguments consumed.
    std::size_t readFlag(const std::vector<std::string>& arguments, std::size_t i)
    {
        std::string text = arguments[i].substr(arguments[i].rfind("--", 0) == 0 ? 2 : 1);
        auto equals = text.find('=');
        std::string name = text.substr(0, equals);
        std::string displayName = "--" + name;
        if (equals != std::string::npos) {
            setFlag(name, text.substr(equals + 1), displayName);
            return 1;
        }
        if (isBoolean(name)) {
            setFlag(name, "true", displayName);
            return 1;
        }
        bool hasValue = i + 1 < arguments.size();
        setFlag(name, hasValue ? arguments[i + 1] : "", displayName);
        return 2;
    }

} // namespace

std::vector<std::string> readSettings(int argc, char** argv, const ProgramInfo& program)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    for (const std::string& argument : arguments) {
        if (argument == "--help" || argument == "-h")
            showHelp(program);
        if (argument == "--version") {
            std::cout << program.name_ << " " << versionText << "\n";
            std::exit(0);
        }
    }
    readEnvironment();
    std::vector<std::string> rest;
    for (std::size_t i = 0; i < arguments.size();) {
        bool isFlag = arguments[i].size() > 1 && arguments[i].front() == '-';
        if (isFlag) {
            i += readFlag(arguments, i);
            continue;
        }
        rest.push_back(arguments[i]);
        ++i;
    }
    return rest;
}

void exitWithInvalidSetting(const std::string& setting, const std::string& remedy)
{
    logWarning("start-failed", remedy, { { "setting", setting } });
    flushEventLog();
    std::cerr << "invalid setting " << setting << ": " << remedy << std::endl;
    std::exit(invalidSettingsStatus);
}

ZoneId requireZone(const std::string& setting, const std::string& value)
{
    if (!isZoneName(value))
        exitWithInvalidSetting(
            setting, "must be an availability zone of 1 to 40 characters from a-z, 0-9 and -");
    return { value };
}

std::string requireNonEmpty(const std::string& setting, const std::string& value)
{
    if (value.empty())
        exitWithInvalidSetting(setting, "must not be empty");
    return value;
}

std::string requireUrl(const std::string& setting, const std::string& value)
{
    std::string url = value;
    if (url.rfind("http://", 0) != 0 && url.rfind("https://", 0) != 0)
        exitWithInvalidSetting(setting, "must be a URL such as http://host:port");
    while (url.back() == '/')
        url.pop_back();
    return url;
}

HostPort requireHostPort(const std::string& setting, const std::string& value)
{
    auto colon = value.rfind(':');
    HostPort address;
    std::string port = colon == std::string::npos ? std::string() : value.substr(colon + 1);
    address.host_ = value.substr(0, colon);
    auto parsed = std::from_chars(port.data(), port.data() + port.size(), address.port_);
    in_addr ignored {};
    bool isIpAddress = inet_pton(AF_INET, address.host_.c_str(), &ignored) == 1;
    if (port.empty() || parsed.ec != std::errc() || parsed.ptr != port.data() + port.size() || !isIpAddress)
        exitWithInvalidSetting(setting, "must be an IPv4 address and a port, such as 127.0.0.1:7070");
    return address;
}

std::int64_t requireRange(const std::string& setting, std::int64_t value, std::int64_t min, std::int64_t max)
{
    if (value < min || value > max)
        exitWithInvalidSetting(setting, "must be from " + std::to_string(min) + " to " + std::to_string(max));
    return value;
}

void blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    ignoreWriteSignals();
}

void waitForStopSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace fescue
