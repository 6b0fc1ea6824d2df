// ProgramMemory: resident memory of an entry VM that serves many programs, one turn each. Usage:
// ProgramMemoryBench [programs]. It should be flat from about two fifths of the default on.

#include "EntryVmHarness.h"

#include <atomic>
#include <fmt/format.h>
#include <iostream>
#include <thread>

using namespace fescue;
using namespace fescue::test;

namespace {

constexpr int defaultPrograms = 200000;
constexpr int programsPerSample = 20000;
constexpr int workers = 12;
constexpr double bytesPerMb = 1024 * 1024;

TargetAction streamTurn(const HttpHead& request, const std::string&)
{
    return { stampedHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
        + toChunk("id: 1\ndata: a\n\n") + "0\r\n\r\n" };
}

// Sends the first turn of programs on one connection until all have been served.
void work(const EntryVmHarness& vm, std::atomic<int>& next, int last, std::atomic<int>& failed)
{
    RawConnection connection(vm.port());
    for (int program = next++; program < last; program = next++) {
        connection.send(
            fmt::format("POST /turn/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 6\r\n"
                        "Fescuewinch-Request-Id: r{0}\r\nFescuewinch-Program-Id: p{0}\r\n"
                        "Fescuewinch-Token-Count: 100,300\r\nFescuewinch-Deadline-Ms: 3000\r\n\r\nprompt",
                program));
        std::string answer = connection.readUntil("0\r\n\r\n");
        failed += statusOf(answer) == 200 ? 0 : 1;
    }
}

} // namespace

int main(int argc, char** argv)
{
    int programs = argc > 1 ? std::stoi(argv[1]) : defaultPrograms;
    EntryVmHarness vm({ streamTurn, streamTurn });
    std::atomic<int> next { 0 };
    std::atomic<int> failed { 0 };
    std::cout << fmt::format("{:>10} {:>12} {:>8}\n", "programs", "resident MB", "failed");
    for (int last = programsPerSample; last <= programs; last += programsPerSample) {
        std::vector<std::thread> threads;
        threads.reserve(workers);
        for (int i = 0; i < workers; ++i)
            threads.emplace_back([&] { work(vm, next, last, failed); });
        for (std::thread& thread : threads)
            thread.join();
        next = last;
        std::cout << fmt::format("{:>10} {:>12.1f} {:>8}\n", last,
            static_cast<double>(vm.residentMemory().value_) / bytesPerMb, failed.load())
                  << std::flush;
    }
}
