#include "ragwortwinch/membership/shared_limit.h"

namespace ragwortwinch {

void SharedLimit::onVmCount(Instant now, std::size_t vms)
{
    while (!counts_.empty() && counts_.back().vms <= vms)
        counts_.pop_back();
    counts_.push_back({now, vms});
    while (counts_.front().at + window_ <= now)
        counts_.pop_front();
}

double SharedLimit::part(Instant now) const
{
    if (vmCount() == 0 || now < startedAt_ + window_)
        return 0;
    return whole_ / static_cast<double>(vmCount());
}

} // namespace ragwortwinch
