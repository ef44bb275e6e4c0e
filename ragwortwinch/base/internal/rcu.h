// The few calls of liburcu (memb flavour) that `Snapshot` needs, with thread registration done for the
// caller.
#pragma once

namespace ragwortwinch::internal {

void rcuReadLock();
void rcuReadUnlock();
void rcuSynchronize();

// Tell the thread sanitizer of the ordering that liburcu gives; no-ops in other builds.
void annotateAcquire(const void* address);
void annotateRelease(const void* address);

} // namespace ragwortwinch::internal
