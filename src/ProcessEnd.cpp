#include "ProcessEnd.h"

#include "EventLog.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <cxxabi.h>
#include <exception>
#include <execinfo.h>
#include <string_view>
#include <typeinfo>

// Defined by the linker: where the program is loaded.
extern "C" const char
    __executable_start; // NOLINT(bugprone-reserved-identifier,readability-identifier-naming)

namespace fescue {

namespace {

    // All signals that end a process by default and have no other handler. SIGSYS is left to filters of
    // system calls that are answered by it.
    constexpr std::array fatalSignals { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT, SIGTRAP, SIGQUIT, SIGXCPU,
        SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGPWR, SIGSTKFLT };

    // Those of a fault of the process itself, which end it even if they are ignored. The others stay ignored
    // if the host has told the process so: a shell does with SIGQUIT for what it starts in the background.
    constexpr std::array ownFaults { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT, SIGTRAP };

    bool staysIgnored(int signal)
    {
        struct sigaction inherited { };
        bool isOwnFault = std::find(ownFaults.begin(), ownFaults.end(), signal) != ownFaults.end();
        return !isOwnFault && ::sigaction(signal, nullptr, &inherited) == 0
            && inherited.sa_handler == SIG_IGN;
    }

    // Text of a fixed capacity, which cuts what exceeds it. Safe in signal handlers.
    struct FixedText {
        std::array<char, 1024> characters_ {};
        std::size_t size_ = 0;

        void add(std::string_view text)
        {
            for (char c : text) {
                if (size_ < characters_.size())
                    characters_[size_++] = c;
            }
        }

        void addHex(std::uint64_t number)
        {
            constexpr std::string_view digits = "0123456789abcdef";
            constexpr int bitsPerDigit = 4;
            constexpr std::uint64_t mask = 0xf;
            int shift = 60;
            while (shift > 0 && (number >> shift) == 0)
                shift -= bitsPerDigit;
            add("0x");
            for (; shift >= 0; shift -= bitsPerDigit)
                add(digits.substr((number >> shift) & mask, 1));
        }

        std::string_view view() const { return { characters_.data(), size_ }; }
    };

    // Return addresses within the program, innermost first; those in libraries are left out.
    void addStack(FixedText& text)
    {
        constexpr int maxFrames = 48;
        constexpr std::uint64_t maxProgramBytes = 1ULL << 28;
        std::array<void*, maxFrames> frames {};
        int count = ::backtrace(frames.data(), maxFrames);
        auto start = reinterpret_cast<std::uint64_t>(&__executable_start);
        for (int i = 0; i < count; ++i) {
            auto address = reinterpret_cast<std::uint64_t>(frames[static_cast<std::size_t>(i)]);
            if (address < start || address - start > maxProgramBytes)
                continue;
            if (text.size_ > 0)
                text.add(" ");
            text.addHex(address - start);
        }
    }

    void onFatalSignal(int signal, siginfo_t* info, void*)
    {
        FixedText name;
        name.add("SIG");
        name.add(::sigabbrev_np(signal));
        FixedText address;
        address.addHex(reinterpret_cast<std::uint64_t>(info->si_addr));
        logFatalSignal({ { "event", "process-failed" }, { "reason", "signal" }, { "signal", name.view() },
            { "address", address.view() } });
        // Reading a damaged stack may fail in turn, so it has a line of its own.
        FixedText stack;
        addStack(stack);
        logFatalSignal({ { "event", "process-stack" }, { "stack", stack.view() } });
        // The handler was reset on entry, so this ends the process once the handler has returned.
        ::raise(signal);
    }

    std::string typeName(const std::type_info& type)
    {
        int status = 0;
        char* name = abi::__cxa_demangle(type.name(), nullptr, nullptr, &status);
        std::string text = name ? name : type.name();
        std::free(name); // NOLINT(cppcoreguidelines-no-malloc)
        return text;
    }

    // Cuts what is long, and replaces what would need escaping.
    FixedText plainText(std::string_view text)
    {
        FixedText plain;
        for (char c : text) {
            bool isPlain = c >= ' ' && c <= '~' && c != '"' && c != '\\';
            plain.add(isPlain ? std::string_view(&c, 1) : std::string_view("?"));
        }
        return plain;
    }

    // On standard error if the log takes no more lines.
    void logException(const std::string& type, const std::string& what)
    {
        FixedText stack;
        addStack(stack);
        flushEventLog();
        logFatalSignal({ { "event", "process-failed" },
            { "message", "an exception ended the process; report it with the lines before this one" },
            { "reason", "exception" }, { "type", plainText(type).view() }, { "what", plainText(what).view() },
            { "stack", stack.view() } });
    }

    [[noreturn]] void onTerminate()
    {
        try {
            if (std::current_exception())
                std::rethrow_exception(std::current_exception());
            logException("none", "std::terminate was called");
        } catch (const std::exception& error) {
            logException(typeName(typeid(error)), error.what());
        } catch (...) {
            logException("not a std::exception", "");
        }
        std::signal(SIGABRT, SIG_DFL); // One line is enough.
        std::abort();
    }

} // namespace

void logFatalEnds()
{
    // A stack of its own, so that an overflow of the stack is reported, too.
    static std::array<char, 64 * 1024> signalStack;
    stack_t stack {};
    stack.ss_sp = signalStack.data();
    stack.ss_size = signalStack.size();
    ::sigaltstack(&stack, nullptr);
    // The first call loads a library, which a signal handler must not do.
    std::array<void*, 1> ignored {};
    ::backtrace(ignored.data(), 1);
    struct sigaction action { };
    action.sa_sigaction = onFatalSignal;
    action.sa_flags = static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND);
    for (int signal : fatalSignals) {
        if (!staysIgnored(signal))
            ::sigaction(signal, &action, nullptr);
    }
    std::set_terminate(onTerminate);
}

} // namespace fescue
