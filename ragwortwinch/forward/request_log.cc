#include "ragwortwinch/forward/request_log.h"

#include "ragwortwinch/base/log_event.h"

#include <functional>

namespace ragwortwinch {

bool RequestLog::shouldLogSuccess(std::string_view requestId) const
{
    return std::hash<std::string_view>()(requestId) % successSampleInterval == 0;
}

bool RequestLog::shouldLogFailure(Instant now)
{
    if (now >= secondStart_ + std::chrono::seconds(1)) {
        if (suppressed_)
            LogEvent("log.suppressed", Severity::Warning).with("lines", suppressed_);
        secondStart_ = now;
        lines_ = 0;
        suppressed_ = 0;
    }
    if (++lines_ <= maxLinesPerSecond)
        return true;
    ++suppressed_;
    return false;
}

} // namespace ragwortwinch
