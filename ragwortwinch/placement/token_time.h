// Time per generated token of an engine, learnt from the streams of this VM.
//
//     time.addTokens(2, Millis(24), now);     // two tokens came 24 ms after the ones before
//     time.millis(now);
//
// A slowdown counts at once and is forgotten as soon: the value is the average of the last tenths of a
// second. When there are no such tokens, a longer average tells engines that are slow for good. Not
// thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"

#include <cstdint>
#include <optional>

namespace ragwortwinch {

class TokenTime {
public:
    // Time constants of the averages. Slowdowns last 0.6 s; the longer average has several of them.
    static constexpr Millis recentMemory{60};
    static constexpr Millis longMemory{5000};
    // Without tokens for this long, what is known is forgotten.
    static constexpr Millis recentSilence{500};
    static constexpr Millis longSilence{30000};
    // A pause counts as this at most: the engine may have frozen, which is not a speed.
    static constexpr Millis maxPause{500};

    void addTokens(std::int64_t tokens, Millis elapsed, Instant now);
    // Nullopt when nothing is known.
    std::optional<double> millis(Instant now) const;

private:
    // Sums of tokens and their times, weighted by age at the last sample.
    struct Average {
        double tokens = 0;
        double millis = 0;

        void add(double newTokens, double newMillis, double weightOfOld);
    };
    // The average of the last tenths of a second needs this many tokens.
    static constexpr double minRecentTokens = 2;

    Average recent_;
    Average long_;
    Instant lastTokens_;
};

} // namespace ragwortwinch
