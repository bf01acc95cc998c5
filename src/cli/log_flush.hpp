/// @file
/// When the buffered log lines of a daemon are written.
#pragma once

namespace anisehold::cli {

/// Makes log lines be written in groups, a short time after the first of each group: each write costs a
/// system call. Call once, after logging has started, in a process with an event loop. Lines that are
/// buffered when the process ends must be written explicitly.
void group_log_writes();

}  // namespace anisehold::cli
