// Counters of requests and their outcomes, and the number of active requests. Thread-safe.
#pragma once

#include <atomic>
#include <cstdint>

namespace ragwortwinch {

struct DispatchMetrics {
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> completed{0};
    std::atomic<std::uint64_t> refusedNotRun{0};
    std::atomic<std::uint64_t> outcomeUnknown{0};
    // Chats that ended with an error in `RunState::Ran`, with or without output.
    std::atomic<std::uint64_t> truncated{0};
    std::atomic<std::uint64_t> retries{0};
    std::atomic<std::uint64_t> resumes{0};
    // Repeated requests that got the outcome recorded under their idempotency key.
    std::atomic<std::uint64_t> replays{0};
    std::atomic<std::uint64_t> callerDisconnects{0};
    // Responses discarded for a wrong X-Attempt-Id; in chats also those without one.
    std::atomic<std::uint64_t> mismatchedAnswers{0};
    // Output tokens of chats.
    std::atomic<std::uint64_t> tokens{0};
    std::atomic<std::int64_t> active{0};
};

} // namespace ragwortwinch
