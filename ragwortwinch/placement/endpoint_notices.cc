#include "ragwortwinch/placement/endpoint_notices.h"

#include <algorithm>

namespace ragwortwinch {

bool EndpointNotices::onReply(Instant now, bool isLeaving, std::optional<Millis> pause)
{
    bool isNews = isLeaving && !isLeaving_;
    isLeaving_ = isLeaving_ || isLeaving;
    if (!pause || pause->count() <= 0)
        return isNews;
    isNews = isNews || !isPaused(now);
    double millis = static_cast<double>(pause->count()) * (1 + returnSpread_);
    pausedUntil_ = std::max(pausedUntil_, now + Millis(static_cast<std::int64_t>(millis)));
    return isNews;
}

} // namespace ragwortwinch
