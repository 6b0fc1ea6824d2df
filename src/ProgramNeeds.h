#pragma once

/** \file
 * ProgramNeeds: which services the programs of a route call.
 *
 * The configuration does not say which tools programs use, so a VM learns it from the calls that name a
 * program of which it has seen a turn. Programs spread over VMs, so few of their calls reveal it; one is
 * enough for a while.
 */

#include "ProgramId.h"
#include "Types.h"

#include <map>
#include <string>
#include <vector>

namespace fescue {

/** Bounds on what is kept. */
struct NeedsOptions {
    std::size_t maxPrograms_ = 256; ///< About 0.2 KB each; only to learn what routes need.
    Milliseconds programTimeout_ { 10000 };
    Milliseconds needTimeout_ { 120000 }; ///< A service not called for this long is not needed any more.
};

/** What this VM has learned of routes. */
struct ProgramNeeds {
    struct Program {
        std::string route_;
        MonotonicTime seenAt_;
    };
    std::map<ProgramId, Program> programs_;
    std::map<std::string, std::map<ServiceId, MonotonicTime>> calledBy_; ///< By route: last calls.
};

/** Records a turn of a program. Thread safety of all functions: none. */
void recordTurn(ProgramNeeds& needs, const ProgramId& program, const std::string& route, MonotonicTime now,
    const NeedsOptions& options = {});

/** Records a call of a service that names a program. */
void recordToolCall(
    ProgramNeeds& needs, const ProgramId& program, const ServiceId& service, MonotonicTime now);

/** The services that programs of a route call. Pure. */
std::vector<ServiceId> toolsOf(
    const ProgramNeeds& needs, const std::string& route, MonotonicTime now, const NeedsOptions& options = {});

} // namespace fescue
