// Measures how far a thread that handles events is behind, from how late a periodic timer of it fires.
//
//     LagMonitor monitor(Millis(100));
//     monitor.start(now);
//     if (std::optional<LagSpell> spell = monitor.onTimer(now)) log(*spell);   // each time the timer fires
//     Millis lag = monitor.lag(now);                                           // in any other event
//
// Input that an event finds may have lain unread for up to `lag`: the timer, due in the meantime, has not
// fired either. Confined to one thread.
#pragma once

#include "ragwortwinch/base/time.h"

#include <optional>

namespace ragwortwinch {

// The start or the end of a time in which the thread is behind.
struct LagSpell {
    bool hasEnded = false;
    // How far the thread was behind at most.
    Millis worst{0};
    // How long the spell took; zero at its start.
    Millis duration{0};
};

class LagMonitor {
public:
    // A thread is behind from this lag on, and again on time below half of it for `calmTime`.
    static constexpr Millis behindLag{100};
    static constexpr Millis calmTime{1000};

    // `interval` is the time between two firings of the timer.
    explicit LagMonitor(Millis interval)
        : interval_(interval)
    {
    }

    void start(Instant now) { dueAt_ = now + interval_; }
    std::optional<LagSpell> onTimer(Instant now);
    // How long the timer is overdue.
    Millis lag(Instant now) const;
    // The greatest lag of the last `calmTime`, for others who decide whether to send work here.
    Millis recentLag(Instant now) const;
    bool isBehind() const { return spellStart_.has_value(); }

private:
    Millis interval_;
    Instant dueAt_ = Instant::max();
    std::optional<Instant> spellStart_;
    Instant lastBehindAt_;
    Millis worst_{0};
    Millis peak_{0};
    Instant peakAt_;
};

} // namespace ragwortwinch
