// Puts one streamed answer together over several attempts: each token once, in order, up to the terminal
// marker.
//
//     AnswerAssembler answer;
//     answer.take(event)                 // Forward, Duplicate, Finished, or Gap
//     answer.nextOffset();               // where the next attempt has to resume
//
// An event of an attempt that is not the current one never reaches it: each attempt has its own reader and
// connection. Not thread-safe.
#pragma once

#include "ragwortwinch/dispatch/event_reader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortwinch {

enum class EventDecision {
    // The next token: pass it on.
    Forward,
    // Already passed on by an earlier attempt.
    Duplicate,
    // The terminal marker: the answer is whole.
    Finished,
    // A token is missing before this one: the attempt is of no use.
    Gap,
};

class AnswerAssembler {
public:
    EventDecision take(const StreamEvent& event);
    std::int64_t nextOffset() const { return nextOffset_; }
    bool isFinished() const { return isFinished_; }
    bool hasOutput() const { return nextOffset_ > 0; }
    // The data of all events so far, in order.
    const std::vector<std::string>& events() const { return events_; }
    // The text so far: the contents of all events joined.
    std::string text() const;
    // The reason given by the last event that has one.
    std::string finishReason() const;

private:
    std::vector<std::string> events_;
    std::int64_t nextOffset_ = 0;
    bool isFinished_ = false;
};

} // namespace ragwortwinch
