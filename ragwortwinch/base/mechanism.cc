#include "ragwortwinch/base/mechanism.h"

namespace ragwortwinch {

namespace internal {

std::atomic<std::uint32_t> switchedOffMechanisms{0};

} // namespace internal

ScopedDisable::ScopedDisable(Mechanism mechanism)
    : mechanism_(mechanism)
{
    internal::switchedOffMechanisms.fetch_or(1U << static_cast<int>(mechanism_));
}

ScopedDisable::~ScopedDisable()
{
    internal::switchedOffMechanisms.fetch_and(~(1U << static_cast<int>(mechanism_)));
}

} // namespace ragwortwinch
