// Decides which requests are logged, to bound the log volume under load.
//
//     if (log.shouldLogFailure(now)) LogEvent("request.end")...
//
// Failures are logged up to a rate limit; the suppressed ones are counted. Successes are sampled by request
// id, so that all VMs sample the same requests. Confined to the forwarding thread.
#pragma once

#include "ragwortwinch/base/time.h"

#include <cstdint>
#include <string_view>

namespace ragwortwinch {

class RequestLog {
public:
    // One of this many successes is logged.
    static constexpr std::uint64_t successSampleInterval = 32;
    // Limit on logged failures; about 40 KB of log per second.
    static constexpr int maxLinesPerSecond = 200;

    bool shouldLogSuccess(std::string_view requestId) const;
    bool shouldLogFailure(Instant now);

private:
    Instant secondStart_;
    int lines_ = 0;
    std::uint64_t suppressed_ = 0;
};

} // namespace ragwortwinch
