// Assembles one streamed answer from several attempts: each token once, in order, up to the terminal marker.
//
//     AnswerAssembler answer;
//     answer.take(event)                 // Forward, Duplicate, Finished, or Gap
//     answer.nextOffset();               // the offset at which the next attempt has to resume
//
// Receives events of the current attempt only, since each attempt has its own reader and connection. Not
// thread-safe.
#pragma once

#include "ragwortwinch/dispatch/event_reader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortwinch {

enum class EventDecision {
    // The next token, to be sent to the caller.
    Forward,
    // A token that was already sent to the caller.
    Duplicate,
    // The terminal marker: the answer is complete.
    Finished,
    // The event doesn't follow the last token or has no offset, so the attempt has to end.
    Gap,
};

class AnswerAssembler {
public:
    EventDecision take(const StreamEvent& event);
    std::int64_t nextOffset() const { return nextOffset_; }
    bool isFinished() const { return isFinished_; }
    bool hasOutput() const { return nextOffset_ > 0; }
    // Returns the data of all tokens so far, in order.
    const std::vector<std::string>& events() const { return events_; }
    // Returns the concatenated contents of all tokens so far.
    std::string text() const;
    // Returns the finish reason of the last event that has one, or an empty string.
    std::string finishReason() const;

private:
    std::vector<std::string> events_;
    std::int64_t nextOffset_ = 0;
    bool isFinished_ = false;
};

} // namespace ragwortwinch
