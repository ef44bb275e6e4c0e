// Clocks and time types. `Instant` counts milliseconds of CLOCK_BOOTTIME, which also advances while a VM is
// suspended.
//
//     SystemClock clock;
//     Instant deadline = clock.now() + std::chrono::seconds(5);
#pragma once

#include <chrono>
#include <cstdint>

namespace ragwortwinch {

using Millis = std::chrono::milliseconds;

// Tag type that gives `Instant` its own time_point type. It has no `now()`: see `Clock`.
struct BootTime {
    using rep = std::int64_t;
    using period = std::milli;
    using duration = Millis;
    using time_point = std::chrono::time_point<BootTime>;
    static constexpr bool is_steady = true;
};

using Instant = BootTime::time_point;

// A source of time. Thread-safe.
class Clock {
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
    // Milliseconds since 1970, such as for usage windows and incarnations; never for leases.
    virtual std::int64_t unixMillis() const = 0;
};

// Reads the clocks of the operating system.
class SystemClock final : public Clock {
public:
    Instant now() const override;
    std::int64_t unixMillis() const override;
};

} // namespace ragwortwinch
