#include "ragwortwinch/forward/lag_monitor.h"

#include <algorithm>
#include <utility>

namespace ragwortwinch {

Millis LagMonitor::lag(Instant now) const { return now > dueAt_ ? now - dueAt_ : Millis(0); }

Millis LagMonitor::recentLag(Instant now) const
{
    bool isRecent = peak_.count() > 0 && now - peakAt_ < calmTime;
    return std::max(lag(now), isRecent ? peak_ : Millis(0));
}

std::optional<LagSpell> LagMonitor::onTimer(Instant now)
{
    Millis late = lag(now);
    dueAt_ = now + interval_;
    if (late >= peak_ || now - peakAt_ >= calmTime) {
        peak_ = late;
        peakAt_ = now;
    }
    if (late >= behindLag / 2)
        lastBehindAt_ = now;
    worst_ = std::max(worst_, late);
    if (!spellStart_ && late >= behindLag) {
        spellStart_ = now - late;
        worst_ = late;
        return LagSpell{false, late, Millis(0)};
    }
    if (!spellStart_ || now - lastBehindAt_ < calmTime)
        return std::nullopt;
    LagSpell spell{true, worst_, now - *spellStart_};
    spellStart_.reset();
    return spell;
}

} // namespace ragwortwinch
