// Moving average of the time from the end of prefill to the first token at the decode engine, which includes
// the KV cache transfer.
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
    // Before the first sample: transfer of a long prompt's KV cache within a zone, and one token.
    static constexpr double initialMillis = 12;

    void addSample(Millis taken)
    {
        double millis = std::min(static_cast<double>(taken.count()), maxMillis);
        millis_ += (millis - millis_) * sampleWeight;
    }
    double millis() const { return millis_; }

private:
    // Averages over about 20 transfers, 0.2 s of a busy VM.
    static constexpr double sampleWeight = 0.05;
    // The platform's engines don't start a transfer that has waited longer.
    static constexpr double maxMillis = 2000;

    double millis_ = initialMillis;
};

} // namespace ragwortwinch
