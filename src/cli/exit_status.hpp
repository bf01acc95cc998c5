/// @file
/// Exit codes of all commands.
#pragma once

namespace anisehold::cli {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;  ///< The command ran but did not succeed.
inline constexpr int kExitUsage = 2;    ///< Invalid arguments, settings or files; nothing was attempted.

}  // namespace anisehold::cli
