/// @file
/// What the sidecar does with the store: registers itself, finds its peers, watches the configuration.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "discovery/missing_registrations.hpp"
#include "discovery/registration_ages.hpp"
#include "discovery/watch_role.hpp"
#include "membership/peer_directory.hpp"
#include "sidecar/configuration_holder.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/proof_keeper.hpp"
#include "sidecar/sidecar_context.hpp"
#include "store/coordination_store.hpp"

namespace anisehold::sidecar {

/// Its fibers keep the registration, and, while this daemon is one of its zone's watchers
/// (discovery/watch_role.hpp), watch the configuration and keep the zone's registrations.
class StoreFollower {
  public:
    using PeersFound = std::function<void()>;

    StoreFollower(SidecarContext& context, store::CoordinationStore& store,
                  ConfigurationHolder& configuration, membership::PeerDirectory& directory, ProofKeeper& mode,
                  CrashExchange& crashes)
        : context_(context),
          store_(store),
          configuration_(configuration),
          directory_(directory),
          proofs_(mode),
          crashes_(crashes) {}

    /// Starts the fibers; `peers_found` is called after each list of peers was read.
    void start(PeersFound peers_found);
    /// Whether the list of peers was read once.
    bool has_listed() const { return has_listed_; }

  private:
    /// Reads the configuration once at the start, so that a restarted fleet serves at once.
    void take_first_configuration();
    void follow_configuration();
    /// Reviews whether this daemon watches, and logs a change.
    discovery::WatchRole review_role();
    /// One read or watch. Returns the revision to watch from, or 0 if the store gave no answer.
    std::uint64_t follow_once(std::uint64_t watch_from);
    std::uint64_t read_configuration(store::ReadMode mode);
    std::uint64_t watch_configuration(std::uint64_t watch_from);
    /// A daemon that finds its registration from before needs no write: whoever registered since has listed
    /// it. Otherwise it writes before it lists, so that of two that start together the later reader sees the
    /// other.
    enum class RegistrationStep { kLook, kWrite, kList, kRest };
    void keep_registered();
    /// Takes one step; the next one, or nothing if the store didn't serve it.
    std::optional<RegistrationStep> registration_step(RegistrationStep step);
    /// While this daemon watches, brings back what the store has lost of its zone's registrations.
    void keep_zone_registered();
    void restore_missing();
    bool register_self();
    std::string own_key() const;
    /// Lists all that the daemons keep in the store, with as many calls as members alone take; returns the
    /// members.
    std::optional<std::vector<store::StoreItem>> list_members(store::ReadMode mode);
    /// Makes the members known; whether this daemon's own registration is among them.
    bool take_members(const std::vector<store::StoreItem>& members);
    /// Removes registrations of machines that are gone for good.
    void remove_abandoned(const std::vector<discovery::Registration>& listing);
    /// Logs items of another writer that couldn't be read.
    static void note_unreadable(std::size_t count, const char* purpose);
    /// Logs a change between reachable and not, and returns whether the call was served.
    bool note(store::CallOutcome outcome, const char* purpose);
    void pause(unsigned failures, milliseconds at_most);

    SidecarContext& context_;
    store::CoordinationStore& store_;
    ConfigurationHolder& configuration_;
    membership::PeerDirectory& directory_;
    ProofKeeper& proofs_;
    CrashExchange& crashes_;
    PeersFound peers_found_;
    discovery::WatchState watch_;
    discovery::RegistrationAges ages_;
    discovery::MissingRegistrations missing_;
    bool has_listed_ = false;
    bool reachable_ = true;
};

}  // namespace anisehold::sidecar
