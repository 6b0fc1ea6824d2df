#pragma once

/** \file
 * ProcessSoakHistory: what callers received and what target processes logged, and the checks on both.
 *
 * A caller's stream is named by its path, which it keeps over all attempts and which the targets name in each
 * event. An event says: `id: 3`, `data: 3 of 8 SERVICE/VERSION/TARGET PATH`.
 */

#include <map>
#include <string>
#include <vector>

namespace fescue::test {

/** Routes of the soak. */
enum class ProcessSoakKind {
    Turn, ///< A stream that may be resumed.
    Note, ///< A stream that may run once.
    Read, ///< Idempotent; may run on two targets.
    Call, ///< May run once.
};

constexpr int processSoakEvents = 8; ///< Of a whole stream.
constexpr std::size_t processSoakAnswerBytes = 800; ///< Of an answer that is no stream.

/** One attempt of a caller and its result. */
struct ProcessSoakAttempt {
    ProcessSoakKind kind_ = ProcessSoakKind::Read;
    std::string path_;
    std::string vm_; ///< That it was sent to.
    int runs_ = 0; ///< At targets.
    int refusal_ = 0; ///< Status that says that it has not run; 0 if there is none.
    bool hasEnded_ = false;
};

/** What a caller has received of a stream, over all attempts. */
struct ProcessSoakStream {
    int lastEvent_ = 0;
    std::string firstAttempt_; ///< That brought the first event.
    std::string origin_; ///< Service and version of the target that made it.
    bool isComplete_ = false;
};

/** End of one attempt, as its caller saw it. */
struct ProcessSoakAnswer {
    int status_ = 0; ///< 0 if no head was received.
    std::string stamp_; ///< Empty if there is none.
    std::string body_;
    bool isComplete_ = false;
};

/** The history of one run. */
struct ProcessSoakHistory {
    std::map<std::string, ProcessSoakAttempt> attempts_; ///< By id.
    std::map<std::string, ProcessSoakStream> streams_; ///< By path.
    std::size_t goneOn_ = 0; ///< Attempts that resumed a stream and brought further events.
    std::size_t killedUnframed_ = 0; ///< Runs of unframed streams that were killed between two events.
    std::vector<std::string> violations_;
};

/** Records the end of an attempt, and checks what its caller received. */
void recordAnswer(ProcessSoakHistory& history, const std::string& id, const ProcessSoakAnswer& answer);

/** Reads the log of a target; see standin/StreamTarget.h. Its runs must belong to recorded attempts. */
void readTargetLog(ProcessSoakHistory& history, const std::string& file);

/** Checks how often each attempt ran. To be called after all logs have been read. */
void checkRuns(ProcessSoakHistory& history);

} // namespace fescue::test
