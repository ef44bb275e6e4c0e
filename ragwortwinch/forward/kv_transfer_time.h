// How long it lately took from a prompt that was read to its first token at another engine.
//
//     time.addSample(Millis(18));
//     time.millis();
//
// Not thread-safe.
#pragma once

#include "ragwortwinch/base/time.h"

#include <algorithm>

namespace ragwortwinch {

class KvTransferTime {
public:
    // Before anything is known: moving the memory of a long prompt inside a zone, and one token.
    static constexpr double initialMillis = 12;

    void addSample(Millis taken)
    {
        double millis = std::min(static_cast<double>(taken.count()), maxMillis);
        millis_ += (millis - millis_) * sampleWeight;
    }
    double millis() const { return millis_; }

private:
    // About twenty hand-overs, a fifth of a second of a busy VM.
    static constexpr double sampleWeight = 0.05;
    // A move that waits longer is not started by the platform's engines.
    static constexpr double maxMillis = 2000;

    double millis_ = initialMillis;
};

} // namespace ragwortwinch
