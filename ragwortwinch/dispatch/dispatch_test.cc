#include "ragwortwinch/base/mechanism.h"
#include "ragwortwinch/dispatch/answer_assembler.h"
#include "ragwortwinch/dispatch/chat_request.h"
#include "ragwortwinch/dispatch/idempotency_claim.h"
#include "ragwortwinch/dispatch/run_state.h"
#include "ragwortwinch/dispatch/scheduler.h"

#include <doctest/doctest.h>
#include <random>

namespace ragwortwinch {
namespace {

std::string eventText(std::int64_t offset) { return "t" + std::to_string(offset); }

// Simulates one answer over attempts that repeat or skip tokens, send the terminal marker early, or break
// off; returns whether the caller got exactly the answer.
bool isReassembledExactly(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::int64_t length = static_cast<std::int64_t>(random() % 30 + 1);
    AnswerAssembler answer;
    while (!answer.isFinished()) {
        if (answer.nextOffset() > length)
            return false;
        // The engine starts at the requested offset or earlier, since it may repeat tokens.
        std::int64_t offset
            = std::max<std::int64_t>(0, answer.nextOffset() - static_cast<std::int64_t>(random() % 3));
        bool isAttemptRunning = true;
        while (isAttemptRunning && !answer.isFinished()) {
            // 0: the attempt breaks off; 1: skips a token; 2: repeats one; 3: sends the marker early.
            std::uint64_t fault = random() % 20;
            if (fault == 0)
                break;
            if (fault == 1)
                ++offset;
            if (fault == 2 && offset > 0)
                --offset;
            bool isEnd = offset >= length || fault == 3;
            std::string data = isEnd ? "[DONE]" : eventText(offset);
            EventDecision decision = answer.take({isEnd ? length : offset, data});
            isAttemptRunning = decision != EventDecision::Gap;
            ++offset;
        }
    }
    if (answer.nextOffset() != length)
        return false;
    for (std::int64_t offset = 0; offset < length; ++offset) {
        if (answer.events()[static_cast<std::size_t>(offset)] != eventText(offset))
            return false;
    }
    return true;
}

int firstFailingSeed(int seeds)
{
    for (int seed = 1; seed <= seeds; ++seed) {
        if (!isReassembledExactly(static_cast<std::uint64_t>(seed)))
            return seed;
    }
    return 0;
}

TEST_CASE("the caller gets exactly the answer despite broken attempts and repeated or skipped tokens")
{
    CHECK(firstFailingSeed(20000) == 0);
}

TEST_CASE("the simulation finds wrong answers when offsets or the marker's offset are not checked")
{
    {
        ScopedDisable off(Mechanism::TokenOffsets);
        CHECK(firstFailingSeed(100) > 0);
    }
    ScopedDisable off(Mechanism::TerminalMarker);
    CHECK(firstFailingSeed(100) > 0);
}

TEST_CASE("events are parsed from a stream for every chunk size")
{
    std::string stream = ": comment\n\nid: 0\ndata: first\n\nid: 1\ndata: second\n\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        EventReader reader;
        std::string seen;
        for (std::size_t start = 0; start < stream.size(); start += size) {
            reader.append(std::string_view(stream).substr(start, size));
            while (std::optional<StreamEvent> event = reader.next())
                seen += std::to_string(event->id) + std::string(event->data) + ";";
        }
        CHECK(seen == "0first;1second;");
    }
}

HttpCallResult resultOf(CallEnd end, bool mayHaveBeenSent, int status = 0)
{
    HttpCallResult result;
    result.end = end;
    result.mayHaveBeenSent = mayHaveBeenSent;
    result.status = status;
    return result;
}

TEST_CASE("a request counts as not run only if no byte was sent or the endpoint refused definitively")
{
    auto stateAfter = [](const HttpCallResult& result) {
        RunTracker tracker;
        tracker.onAttempt(result, false);
        return tracker.state();
    };
    CHECK(stateAfter(resultOf(CallEnd::NotConnected, false)) == RunState::NotRun);
    CHECK(stateAfter(resultOf(CallEnd::Broken, true)) == RunState::OutcomeUnknown);
    CHECK(stateAfter(resultOf(CallEnd::TimedOut, true)) == RunState::OutcomeUnknown);
    CHECK(stateAfter(resultOf(CallEnd::Cancelled, true)) == RunState::OutcomeUnknown);
    CHECK(stateAfter(resultOf(CallEnd::Complete, true, 503)) == RunState::Ran);
    HttpCallResult refusal = resultOf(CallEnd::Complete, true, 503);
    refusal.headers.add("x-not-run", "1");
    CHECK(stateAfter(refusal) == RunState::NotRun);
    refusal.end = CallEnd::Broken;
    CHECK(stateAfter(refusal) == RunState::OutcomeUnknown);
    RunTracker both;
    both.onAttempt(resultOf(CallEnd::Broken, true), false);
    both.onAttempt(resultOf(CallEnd::NotConnected, false), false);
    CHECK(both.state() == RunState::OutcomeUnknown);
    ScopedDisable off(Mechanism::RunTracking);
    CHECK(stateAfter(resultOf(CallEnd::Broken, true)) == RunState::NotRun);
}

TEST_CASE("a claim whose write got no answer is read back, and a repeated request gets the recorded outcome")
{
    IdempotencyClaim claim("riders", "key", {"request", "attempt-1", Millis(1000), 5000});
    StoreOps put = claim.start();
    StoreAnswer lost;
    lost.opId = put[0].id;
    StoreOps read = claim.onAnswer(lost, 0);
    REQUIRE(read.size() == 1);
    CHECK(read[0].verb == StoreVerb::Get);
    claim.onAnswer({read[0].id, StoreStatus::Ok, 9, put[0].value, {}}, 0);
    CHECK(claim.decision() == ClaimDecision::Proceed);
    StoreOps record = claim.record({200, "text/plain", "done"});
    CHECK(record[0].expectedRevision == 9);

    IdempotencyClaim repeat("riders", "key", {"request", "attempt-2", Millis(1000), 5000});
    StoreOps second = repeat.start();
    StoreOps readBack = repeat.onAnswer({second[0].id, StoreStatus::Conflict, 9, {}, {}}, 0);
    repeat.onAnswer({readBack[0].id, StoreStatus::Ok, 10, record[0].value, {}}, 0);
    CHECK(repeat.decision() == ClaimDecision::Replay);
    CHECK(repeat.outcome().body == "done");
}

TEST_CASE("a claim without outcome is still running until its latest end, and unknown afterwards")
{
    auto decisionAt = [](std::int64_t unixMillis) {
        IdempotencyClaim first("riders", "key", {"request", "attempt-1", Millis(1000), 5000});
        std::string claimed = first.start()[0].value;
        IdempotencyClaim repeat("riders", "key", {"request", "attempt-2", Millis(1000), 9000});
        StoreOps readBack
            = repeat.onAnswer({repeat.start()[0].id, StoreStatus::Conflict, 9, {}, {}}, unixMillis);
        repeat.onAnswer({readBack[0].id, StoreStatus::Ok, 9, claimed, {}}, unixMillis);
        return repeat.decision();
    };
    CHECK(decisionAt(4000) == ClaimDecision::StillRunning);
    CHECK(decisionAt(6000) == ClaimDecision::OutcomeUnknown);
}

class FixedClock final : public Clock {
public:
    Instant now() const override { return Instant(Millis(millis)); }
    std::int64_t unixMillis() const override { return millis; }
    std::int64_t millis = 1000;
};

TEST_CASE("the scheduler queues requests until there is capacity, keeps team limits, refuses expired ones")
{
    FixedClock clock;
    EndpointTable endpoints;
    Rules rules;
    EndpointRule rule;
    rule.name = "desk";
    rule.service = "desk";
    rule.kind = EndpointKind::PlainService;
    rule.slots = 2;
    rules.endpoints.push_back(rule);
    endpoints.update(rules);
    endpoints.find("desk")->setReport(clock.now(), {});
    LeastLoadedRouter router;
    Scheduler scheduler(clock, endpoints, router);
    scheduler.setLimits({});
    std::vector<Placement> placed;
    std::vector<Error> refused;
    auto submit = [&](const std::string& team, std::int64_t maxConcurrent) {
        RouteQuery query;
        query.service = "desk";
        scheduler.submit(
            {query, team, 1, maxConcurrent, clock.now() + Millis(500)},
            [&](Placement placement) { placed.push_back(std::move(placement)); },
            [&](const Error& error) { refused.push_back(error); });
    };
    submit("one", 1);
    submit("one", 1);
    submit("two", 10);
    CHECK(placed.size() == 2);
    CHECK(scheduler.queued() == 1);
    // Releasing a placement dispatches the next request, which appends to `placed`.
    std::exchange(placed, {}).clear();
    CHECK(placed.size() == 1);
    CHECK(scheduler.queued() == 0);
    submit("two", 10);
    submit("two", 10);
    CHECK(scheduler.queued() == 1);
    clock.millis += 600;
    scheduler.dispatchQueued();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].kind == ErrorKind::NoCapacity);
}

TEST_CASE("an invalid chat request is a bad request")
{
    for (const char* body : {"", "[]", "{}", R"({"model":"m"})", R"({"model":"m","messages":[1]})",
             R"({"model":"m","messages":[{"role":"user"}],"max_tokens":-1})"}) {
        std::string kind = handleErrors(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(parseChatRequest(body));
                return std::string();
            },
            [](const Error& error) { return std::string(errorKindNames.name(error.kind)); });
        CHECK(kind == "bad_request");
    }
}

} // namespace
} // namespace ragwortwinch
