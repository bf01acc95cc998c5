/// @file
/// Folders for the output of the processes that a test starts, so that a failed run can be traced, and the
/// ports that these processes use. Owns the folders of this test program's fleets; relies on the file system
/// below the build folder.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace anisehold::testing {

/// Creates a folder for one fleet, `runs/NAME-PROCESS-NUMBER` below the build folder, which no other run
/// uses.
std::string make_run_folder(const std::string& name);

/// Returns the folders created since the last call, oldest first. The caller decides whether they are kept.
std::vector<std::string> take_run_folders();

/// Removes folders with their contents, unless the environment variable `ANISEHOLD_KEEP_LOGS` is set.
void remove_run_folders(const std::vector<std::string>& folders);

/// Returns the port to use in place of `port`: higher by the environment variable `ANISEHOLD_PORT_SHIFT`, if
/// set, so that several instances of a test can run at once.
std::uint16_t shifted_port(std::uint16_t port);

/// Renames an existing output file of this name to the first free name of NAME.1, NAME.2 and so on, so that
/// the output of a killed process is kept after its restart.
void keep_earlier_output(const std::string& file);

}  // namespace anisehold::testing
