// Waits for a condition that another thread or process makes true.
//
//     REQUIRE(waitFor([&] { return endpoint.requests().size() == 1; }, 1000));
#pragma once

#include <chrono>
#include <thread>

namespace ragwortwinch::testing {

// Waits until `holds` returns true, for at most `millis`. Returns whether it did.
template <typename Condition> bool waitFor(Condition holds, int millis)
{
    std::chrono::steady_clock::time_point end
        = std::chrono::steady_clock::now() + std::chrono::milliseconds(millis);
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

} // namespace ragwortwinch::testing
