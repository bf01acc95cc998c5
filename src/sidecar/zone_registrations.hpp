/// @file
/// Restores registrations of this daemon's zone that the store has lost.
#pragma once

#include <map>
#include <string>

#include "discovery/missing_registrations.hpp"
#include "membership/peer_directory.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/sidecar_context.hpp"
#include "sidecar/store_link.hpp"

namespace anisehold::sidecar {

/// Owns the set of registrations absent from the last listing (discovery/missing_registrations decides what
/// is missing).
class ZoneRegistrations {
  public:
    ZoneRegistrations(SidecarContext& context, StoreLink& link, membership::PeerDirectory& directory,
                      CrashExchange& crashes)
        : context_(context), link_(link), directory_(directory), crashes_(crashes) {}

    /// Lists and restores periodically while this daemon is one of its zone's watchers, until a planned stop
    /// begins. Blocks its fiber.
    void run();

  private:
    void restore_missing();
    /// Returns the addresses of this daemon and of the reachable members of its zone, by key.
    std::map<std::string, std::string> expected_addresses();

    SidecarContext& context_;
    StoreLink& link_;
    membership::PeerDirectory& directory_;
    CrashExchange& crashes_;
    discovery::MissingRegistrations missing_;
};

}  // namespace anisehold::sidecar
