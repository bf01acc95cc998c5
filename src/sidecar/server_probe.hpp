/// @file
/// Probes the health of the local server, so that a restarted daemon can accept requests for the server
/// before its next heartbeat.
#pragma once

#include <optional>

#include "registration/server_registry.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Sends one request to the address in the settings. Blocks the fiber for a second at most. Returns nothing
/// if the settings or the configuration don't define a probe, or if the server doesn't report that it is
/// healthy; in that case the server's heartbeat decides.
std::optional<HealthAnswer> probe_local_server(const SidecarContext& context,
                                               const routing::Configuration& configuration);

/// Builds the heartbeat that corresponds to the health response, as far as its content is known.
registration::Heartbeat heartbeat_of(const SidecarContext& context, const HealthAnswer& health);

}  // namespace anisehold::sidecar
