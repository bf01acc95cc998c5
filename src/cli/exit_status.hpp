/// @file
/// Exit statuses of all commands.
#pragma once

namespace anisehold::cli {

inline constexpr int kDone = 0;
inline constexpr int kFailed = 1;  ///< It was tried and didn't succeed.
inline constexpr int kUsage = 2;   ///< Bad arguments, settings or files; nothing was tried.

}  // namespace anisehold::cli
