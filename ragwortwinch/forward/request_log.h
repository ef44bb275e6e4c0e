// Decides which requests are logged, so that the volume stays bounded under load.
//
//     if (log.shouldLogFailure(now)) LogEvent("request.end")...
//
// Failures are logged up to a rate and then counted. Ordinary successes are sampled by the request's id, so
// that every VM keeps the same ones. Belongs to the forwarding thread.
#pragma once

#include "ragwortwinch/base/time.h"

#include <cstdint>
#include <string_view>

namespace ragwortwinch {

class RequestLog {
public:
    // One in this many successes is logged.
    static constexpr std::uint64_t successSampleInterval = 32;
    // Lines of failures in one second; about 40 KB.
    static constexpr int maxLinesPerSecond = 200;

    bool shouldLogSuccess(std::string_view requestId) const;
    bool shouldLogFailure(Instant now);

private:
    Instant second_;
    int lines_ = 0;
    std::uint64_t suppressed_ = 0;
};

} // namespace ragwortwinch
