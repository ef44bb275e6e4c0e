// Wrappers of the liburcu functions (memb flavour) that `Snapshot` uses. Readers' threads are registered
// automatically.
#pragma once

namespace ragwortwinch::internal {

void rcuReadLock();
void rcuReadUnlock();
void rcuSynchronize();

// Declare to the thread sanitizer the ordering that liburcu guarantees; no-ops in other builds.
void annotateAcquire(const void* address);
void annotateRelease(const void* address);

} // namespace ragwortwinch::internal
