#include "ragwortwinch/placement/token_time.h"

#include <algorithm>
#include <cmath>

namespace ragwortwinch {

void TokenTime::Average::add(double newTokens, double newMillis, double weightOfOld)
{
    tokens = tokens * weightOfOld + newTokens;
    millis = millis * weightOfOld + newMillis;
}

void TokenTime::addTokens(std::int64_t tokens, Millis elapsed, Instant now)
{
    if (tokens <= 0)
        return;
    double millis = static_cast<double>(std::min(elapsed, maxPause).count());
    double age = static_cast<double>((now - lastTokens_).count());
    recent_.add(
        static_cast<double>(tokens), millis, std::exp(-age / static_cast<double>(recentMemory.count())));
    long_.add(static_cast<double>(tokens), millis, std::exp(-age / static_cast<double>(longMemory.count())));
    lastTokens_ = now;
}

std::optional<double> TokenTime::millis(Instant now) const
{
    Millis silence = now - lastTokens_;
    if (silence > longSilence || long_.tokens <= 0)
        return std::nullopt;
    bool hasRecent = silence <= recentSilence && recent_.tokens >= minRecentTokens;
    const Average& average = hasRecent ? recent_ : long_;
    return average.millis / average.tokens;
}

} // namespace ragwortwinch
