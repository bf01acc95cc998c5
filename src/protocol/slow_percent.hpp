/// @file
/// The unit in which servers, results and records state how long work takes at a server at present.
#pragma once

namespace anisehold {

/// Slowness of a server at its usual speed, in percent; 250 means that work takes 2.5 times as long.
inline constexpr unsigned kUsualSlowPercent = 100;

}  // namespace anisehold
