/// @file
/// How the commands that run a daemon wait for its end.
#pragma once

namespace anisehold::net {
class StopSignals;
}

namespace anisehold::cli {

/// Blocks the calling fiber until a stop signal arrives. Signals that arrive later are only logged, since a
/// planned stop is bounded by its own grace time; `signals` must exist until the process exits.
void wait_for_stop(net::StopSignals& signals);

}  // namespace anisehold::cli
