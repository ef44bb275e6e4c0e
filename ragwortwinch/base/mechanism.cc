#include "ragwortwinch/base/mechanism.h"

namespace ragwortwinch {

namespace internal {

std::atomic<std::uint32_t> disabledMechanisms{0};

} // namespace internal

ScopedDisable::ScopedDisable(Mechanism mechanism)
    : mechanism_(mechanism)
{
    internal::disabledMechanisms.fetch_or(1U << static_cast<int>(mechanism_));
}

ScopedDisable::~ScopedDisable()
{
    internal::disabledMechanisms.fetch_and(~(1U << static_cast<int>(mechanism_)));
}

} // namespace ragwortwinch
