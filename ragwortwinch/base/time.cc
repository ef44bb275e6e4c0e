#include "ragwortwinch/base/time.h"

#include <ctime>

namespace ragwortwinch {

Instant SystemClock::now() const
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return Instant(Millis(reading.tv_sec * 1000 + reading.tv_nsec / 1000000));
}

std::int64_t SystemClock::unixMillis() const
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace ragwortwinch
