// Checks that stay compiled in: counted and logged in service, fatal under test.
//
//     checkInvariant(version > version_, "config.version_grows");
#pragma once

#include <cstdint>
#include <string_view>

namespace ragwortwinch {

// What a broken invariant does.
enum class InvariantMode { CountAndLog, Throw };

// Sets the mode of the whole process. Tests use `Throw`. Thread-safe.
void setInvariantMode(InvariantMode);

// Does nothing when `holds`; otherwise counts, logs, and under `Throw` throws std::logic_error.
void checkInvariant(bool holds, std::string_view name);

// Returns how many checks have failed since the process started.
std::uint64_t brokenInvariants();

} // namespace ragwortwinch
