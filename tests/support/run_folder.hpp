/// @file
/// Where the processes that a test starts leave their output, so that a failed run can be traced, and which
/// ports they use. Owns the folders of this test program's fleets; relies on the file system below the build
/// folder.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace anisehold::testing {

/// Makes a folder for one fleet, `runs/NAME-PROCESS-NUMBER` below the build folder, which no other run uses.
std::string make_run_folder(const std::string& name);

/// The folders made since the last call, oldest first. Whoever takes them decides whether they stay.
std::vector<std::string> take_run_folders();

/// Removes folders with all that is in them, unless the environment has `ANISEHOLD_KEEP_LOGS`.
void remove_run_folders(const std::vector<std::string>& folders);

/// The port to use in place of `port`: the environment's `ANISEHOLD_PORT_SHIFT` higher, if that is set, so
/// that one test can run several times at once.
std::uint16_t shifted_port(std::uint16_t port);

/// Makes room for a new output file: one that has this name gets the first free of NAME.1, NAME.2 and so on,
/// so that what a killed process wrote outlasts its restart.
void keep_earlier_output(const std::string& file);

}  // namespace anisehold::testing
