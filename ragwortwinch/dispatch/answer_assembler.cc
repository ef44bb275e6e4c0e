#include "ragwortwinch/dispatch/answer_assembler.h"

#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/json.h"
#include "ragwortwinch/base/mechanism.h"

namespace ragwortwinch {

namespace {

constexpr std::string_view terminalMarker = "[DONE]";

Json firstChoice(const std::string& event)
{
    Json chunk = parseJsonOrDiscard(event);
    if (!chunk.is_object() || !chunk.contains("choices") || !chunk["choices"].is_array()
        || chunk["choices"].empty())
        return Json::object();
    return chunk["choices"][0];
}

} // namespace

EventVerdict AnswerAssembler::take(const StreamEvent& event)
{
    checkInvariant(!isFinished_, "answer.nothing_after_the_end");
    if (event.data == terminalMarker) {
        // The marker names the offset after the last token, so a marker that overtook tokens is seen.
        if (event.id >= 0 && event.id != nextOffset_ && isEnabled(Mechanism::TerminalMarker))
            return EventVerdict::Gap;
        isFinished_ = true;
        return EventVerdict::Finished;
    }
    if (isEnabled(Mechanism::TokenOffsets)) {
        if (event.id < 0 || event.id > nextOffset_)
            return EventVerdict::Gap;
        if (event.id < nextOffset_)
            return EventVerdict::Duplicate;
    }
    events_.emplace_back(event.data);
    ++nextOffset_;
    return EventVerdict::Forward;
}

std::string AnswerAssembler::text() const
{
    std::string text;
    for (const std::string& event : events_) {
        Json choice = firstChoice(event);
        if (choice.contains("delta"))
            text += stringMember(choice["delta"], "content");
    }
    return text;
}

std::string AnswerAssembler::finishReason() const
{
    for (auto event = events_.rbegin(); event != events_.rend(); ++event) {
        std::string reason = stringMember(firstChoice(*event), "finish_reason");
        if (!reason.empty())
            return reason;
    }
    return {};
}

} // namespace ragwortwinch
