/// @file
/// How the commands that run a daemon wait for its end.
#pragma once

#include <string>

namespace anisehold::net {
class StopSignals;
}

namespace anisehold::cli {

/// Blocks the calling fiber until a stop signal arrives, and returns the signal's name. Signals that arrive
/// later are only logged, since a planned stop is bounded by its own grace time; `signals` must exist until
/// the process exits.
std::string wait_for_stop(net::StopSignals& signals);

}  // namespace anisehold::cli
