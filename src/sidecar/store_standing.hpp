/// @file
/// How this daemon stands with the store, for the parts that don't call it.
#pragma once

#include "discovery/watch_role.hpp"

namespace anisehold::sidecar {

/// `ConfigurationWatch` and `RegistrationKeeper` report here what changed; all others only ask.
class StoreStanding {
  public:
    /// Whether this daemon has a working watch of the configuration.
    bool watches() const { return watches_; }
    /// Whether the list of members was read once.
    bool has_listed() const { return has_listed_; }
    /// Whether this daemon is one of its zone's watchers, which also keep the zone's registrations.
    bool is_appointed() const { return role_ == discovery::WatchRole::appointed; }

    void on_watch(bool works) { watches_ = works; }
    void on_listed() { has_listed_ = true; }
    void on_role(discovery::WatchRole role) { role_ = role; }

  private:
    bool watches_ = false;
    bool has_listed_ = false;
    discovery::WatchRole role_ = discovery::WatchRole::none;
};

}  // namespace anisehold::sidecar
