/// @file
/// The status page of the admin port: the current state of one daemon. Owns nothing.
#pragma once

#include <nlohmann/json.hpp>

#include "daemon/claim_service.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/document_service.hpp"
#include "daemon/gate_service.hpp"
#include "daemon/membership_service.hpp"
#include "routing/backend_registry.hpp"

namespace anisehold::daemon {

/// The parts of the daemon whose state the page shows.
struct StatusSources {
    const DaemonContext& context;
    const MembershipService& membership;
    const DocumentService& documents;
    const ClaimService& claims;
    const GateService& gates;
    const routing::BackendRegistry& registry;
};

nlohmann::ordered_json status_json(const StatusSources& sources, bool stopping);

}  // namespace anisehold::daemon
