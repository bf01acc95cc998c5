/// @file
/// Keeps this daemon registered in the store, and passes the registered members to the peer directory.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "discovery/registration_ages.hpp"
#include "membership/peer_directory.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/sidecar_context.hpp"
#include "sidecar/store_link.hpp"

namespace anisehold::sidecar {

/// Owns the observed ages of registrations (discovery/registration_ages decides which are abandoned).
class RegistrationKeeper {
  public:
    using PeersFound = std::function<void()>;

    RegistrationKeeper(SidecarContext& context, StoreLink& link, membership::PeerDirectory& directory,
                       CrashExchange& crashes)
        : context_(context), link_(link), directory_(directory), crashes_(crashes) {}

    /// Sets the callback that is called after each listing of the peers.
    void set_peers_found(PeersFound peers_found) { peers_found_ = std::move(peers_found); }
    /// Registers and lists, and repeats both every `discovery::registrationPeriod` until a planned stop
    /// begins. Blocks its fiber.
    void run();

  private:
    /// A daemon that finds its earlier registration needs no write, because every daemon that has registered
    /// since then has listed that registration. Otherwise it writes before it lists, so that of two daemons
    /// starting together the later reader sees the other one.
    enum class Step { kCheck, kWrite, kList, kWait };

    /// Executes one step; returns the next step, or nothing if the store failed.
    std::optional<Step> execute(Step step);
    bool register_self();
    /// Adds the members to the peer directory; returns whether this daemon's own registration is listed.
    bool add_members(const std::vector<store::StoreItem>& members);
    /// Removes registrations of machines that are permanently gone.
    void remove_abandoned(const std::vector<discovery::Registration>& listing);

    SidecarContext& context_;
    StoreLink& link_;
    membership::PeerDirectory& directory_;
    CrashExchange& crashes_;
    PeersFound peers_found_;
    discovery::RegistrationAges ages_;
};

}  // namespace anisehold::sidecar
