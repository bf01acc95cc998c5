/// @file
/// Asks the server beside this daemon for its health, so that a daemon that was restarted needn't wait for a
/// heartbeat before it takes requests for that server.
#pragma once

#include <optional>

#include "registration/server_registry.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// One request to the address that the settings name. Blocks the fiber for a second at most. Nothing if the
/// settings or the configuration don't say how to ask, or if the server doesn't answer that it is well: its
/// heartbeat decides then.
std::optional<HealthAnswer> ask_server_beside(const SidecarContext& context,
                                              const routing::Configuration& configuration);

/// What its heartbeat would say, as far as that is known.
registration::Heartbeat heartbeat_of(const SidecarContext& context, const HealthAnswer& health);

}  // namespace anisehold::sidecar
