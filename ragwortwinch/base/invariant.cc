#include "ragwortwinch/base/invariant.h"

#include "ragwortwinch/base/log_event.h"

#include <atomic>
#include <stdexcept>
#include <string>

namespace ragwortwinch {

namespace {

std::atomic<InvariantMode> currentMode{InvariantMode::CountAndLog};
std::atomic<std::uint64_t> brokenCount{0};

} // namespace

void setInvariantMode(InvariantMode mode) { currentMode.store(mode); }

void checkInvariant(bool holds, std::string_view name)
{
    if (holds)
        return;
    brokenCount.fetch_add(1);
    LogEvent("invariant.broken", Severity::Error).with("name", name);
    if (currentMode.load() == InvariantMode::Throw)
        throw std::logic_error("invariant broken: " + std::string(name));
}

std::uint64_t brokenInvariants() { return brokenCount.load(); }

} // namespace ragwortwinch
