// Moves a forked process of a test to a process group of its own.
//
//     if (fork() == 0) {
//         process::enterOwnProcessGroup();
//         raise(SIGSTOP);
//
// A process group is orphaned when the last shell above it that had started it ends, as that of a test in the
// background does. The kernel then sends SIGHUP to a group that has a stopped process, which ends it. The
// group entered here is orphaned only when the test itself ends.
#pragma once

#include <unistd.h>

namespace ragwortwinch::process {

// Call it in the child, right after `fork`.
inline void enterOwnProcessGroup() { setpgid(0, 0); }

} // namespace ragwortwinch::process
