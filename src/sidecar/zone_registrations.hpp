/// @file
/// Brings back what the store has lost of the registrations of this daemon's zone.
#pragma once

#include <map>
#include <string>

#include "discovery/missing_registrations.hpp"
#include "membership/peer_directory.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/sidecar_context.hpp"
#include "sidecar/store_link.hpp"

namespace anisehold::sidecar {

/// Owns what the last listing lacked (discovery/missing_registrations decides what is missing).
class ZoneRegistrations {
  public:
    ZoneRegistrations(SidecarContext& context, StoreLink& link, membership::PeerDirectory& directory,
                      CrashExchange& crashes)
        : context_(context), link_(link), directory_(directory), crashes_(crashes) {}

    /// Lists and restores periodically, while this daemon is one of its zone's watchers, until a planned stop
    /// begins. Blocks its fiber.
    void run();

  private:
    void restore_missing();
    /// By key, of this daemon and the reachable members of its zone.
    std::map<std::string, std::string> expected_addresses();

    SidecarContext& context_;
    StoreLink& link_;
    membership::PeerDirectory& directory_;
    CrashExchange& crashes_;
    discovery::MissingRegistrations missing_;
};

}  // namespace anisehold::sidecar
