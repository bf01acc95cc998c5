/// @file
/// Keeps this daemon registered in the store, and makes the registered members known.
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

/// Owns what was seen of the registrations' ages (discovery/registration_ages decides which are abandoned).
class RegistrationKeeper {
  public:
    using PeersFound = std::function<void()>;

    RegistrationKeeper(SidecarContext& context, StoreLink& link, membership::PeerDirectory& directory,
                       CrashExchange& crashes)
        : context_(context), link_(link), directory_(directory), crashes_(crashes) {}

    /// Called after each list of peers was read.
    void set_peers_found(PeersFound peers_found) { peers_found_ = std::move(peers_found); }
    /// Registers, lists, and does both again each `discovery::registrationPeriod`, until a planned stop
    /// begins. Blocks its fiber.
    void run();

  private:
    /// A daemon that finds its registration from before needs no write: whoever registered since has listed
    /// it. Otherwise it writes before it lists, so that of two that start together the later reader sees the
    /// other.
    enum class Step { kLook, kWrite, kList, kWait };

    /// Takes one step; the next one, or nothing if the store didn't serve it.
    std::optional<Step> take(Step step);
    bool register_self();
    /// Makes the members known; whether this daemon's own registration is among them.
    bool take_members(const std::vector<store::StoreItem>& members);
    /// Removes registrations of machines that are gone for good.
    void remove_abandoned(const std::vector<discovery::Registration>& listing);

    SidecarContext& context_;
    StoreLink& link_;
    membership::PeerDirectory& directory_;
    CrashExchange& crashes_;
    PeersFound peers_found_;
    discovery::RegistrationAges ages_;
};

}  // namespace anisehold::sidecar
