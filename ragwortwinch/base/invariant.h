// Invariant checks that are compiled into every build. Violations are counted and logged; in tests they
// also throw.
//
//     checkInvariant(version > version_, "config.version_grows");
#pragma once

#include <cstdint>
#include <string_view>

namespace ragwortwinch {

// How a violated invariant is handled.
enum class InvariantMode { CountAndLog, Throw };

// Sets the mode of the process, initially `CountAndLog`. Tests use `Throw`. Thread-safe.
void setInvariantMode(InvariantMode);

// If `holds` is false, counts and logs the violation, and in mode `Throw` throws std::logic_error.
// Thread-safe.
void checkInvariant(bool holds, std::string_view name);

// Returns the number of violations since the process started.
std::uint64_t brokenInvariants();

} // namespace ragwortwinch
