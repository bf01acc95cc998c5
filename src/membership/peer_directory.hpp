/// @file
/// Directory of the peer daemons known to this sidecar and of their local servers. Owns the latest record of
/// each peer and decides which servers of a service are preferred (selection/ chooses among them). Relies on
/// its user to report records, store listings and failed connections.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "membership/peer_record.hpp"
#include "membership/record_periods.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::membership {

/// Silence after which a peer is considered unreachable, and after which it is removed.
struct PeerTimes {
    milliseconds silent_after{3'500};  ///< Lower bound; grows with the record period in a large fleet.
    milliseconds remove_after{600'000};
};

/// A server that requests can be sent to, with the time of its latest record.
struct KnownServer {
    ServerRecord server;
    std::string peer;  ///< Name of the server's daemon.
    std::string zone;
    Endpoint call;
    std::uint64_t boot_id = 0;
    TimePoint last_seen;         ///< When the latest record of the server's daemon arrived.
    std::uint64_t affinity = 0;  ///< Rank for this daemon; stable, random across daemons.
    TimePoint speed_seen{};      ///< When a response brought `server.slow_percent`, if later than the record.
};

/// The servers of one service that requests can be sent to. The pointers are valid until the directory
/// changes, so a view must not be held while its fiber waits.
///
/// The preferred servers come first in each list: a few of the highest affinity, so that connections to them
/// stay warm and the number of connections does not grow with the fleet.
struct ServiceView {
    std::vector<const KnownServer*> local;   ///< Servers in the local zone.
    std::vector<const KnownServer*> remote;  ///< Servers in other zones.
    std::size_t preferred_local = 0;         ///< Number of preferred servers at the front of `local`.
    std::size_t preferred_remote = 0;        ///< Number of preferred servers at the front of `remote`.
    const KnownServer* own = nullptr;        ///< The local server of this daemon; also in `local`.
    double mean_latency_us = 0;  ///< Mean over servers with a measured latency; 0 if there are none.

    bool empty() const { return local.empty() && remote.empty(); }
};

/// Effect of a record on the directory.
enum class PeerChange {
    kNone,            ///< The record was outdated or a duplicate.
    kRefreshed,       ///< Only the load or the sequence number changed.
    kAppeared,        ///< A new peer, a new boot, or a peer seen again after silence.
    kServersChanged,  ///< The peer's servers or its leaving state changed.
};

/// Address of a peer from which no record may have been received yet.
struct PeerAddress {
    std::string name;
    Endpoint gossip;
};

/// A peer that is considered a member of the fleet.
struct FleetMember {
    std::string name;
    Endpoint gossip;
    bool takes_requests = false;  ///< The peer is reachable and not leaving.
    bool watches_store = false;
    bool local = false;  ///< The peer is in the local zone.
};

/// Whether a known peer can be used at present.
struct PeerReach {
    const std::string& name;
    const std::string& zone;
    bool reachable = false;
    bool takes_requests = false;  ///< The peer is reachable and not leaving.
};

/// Keeps the latest record of each peer. Pure.
class PeerDirectory {
  public:
    PeerDirectory(std::string own_name, std::string own_zone, PeerTimes times)
        : own_name_(std::move(own_name)), own_zone_(std::move(own_zone)), times_(times) {}

    /// Handles a record received from the daemon that it describes.
    PeerChange on_record(TimePoint now, PeerRecord record);
    /// Handles an address read from the store, which carries no state of its daemon.
    void on_address(TimePoint now, const PeerAddress& address);
    /// Marks a peer unreachable after a failed connection, until its next record arrives.
    void on_unreachable(const std::string& name, std::uint64_t boot_id);
    /// Updates the load of a server from a response.
    void on_load(const std::string& name, const ServerRecord& server);
    /// Updates the present speed of a server from a response.
    void on_speed(TimePoint now, const std::string& name, const std::string& instance, unsigned slow_percent);
    /// Removes peers that have been silent for too long.
    void expire(TimePoint now);

    /// Servers of `service` at reachable peers that are not leaving. The view is rebuilt after a change and
    /// every tenth of a second, so that the cost of a selection does not grow with the fleet.
    const ServiceView& servers_of(TimePoint now, const std::string& service) const;
    /// Calls `visit(record)` for each server at a reachable peer that is not leaving.
    template <typename Visit>
    void for_each_server(TimePoint now, Visit visit) const {
        for (const auto& [name, peer] : peers_) {
            if (!takes_requests(now, peer)) {
                continue;
            }
            for (const auto& known : peer.servers) {
                visit(known.server);
            }
        }
    }
    /// Calls `visit(reach, servers)` for each peer that has sent a record, whether reachable or not.
    template <typename Visit>
    void for_each_peer(TimePoint now, Visit visit) const {
        for (const auto& [name, peer] : peers_) {
            if (peer.was_seen) {
                visit(PeerReach{name, peer.record.zone, reachable(now, peer), takes_requests(now, peer)},
                      peer.servers);
            }
        }
    }
    /// Destinations of records: all known peers, including silent ones, so that a restarted peer is found.
    std::vector<PeerAddress> addresses() const;
    /// Addresses of the peers in the local zone only.
    std::vector<PeerAddress> local_zone_addresses() const;
    PeerCounts counts() const;
    /// Number of reachable peers.
    std::size_t reachable_count(TimePoint now) const;
    std::size_t known_count() const { return peers_.size(); }
    bool knows(const std::string& name) const { return peers_.contains(name); }
    /// The reachable peers of the local zone that are not leaving.
    std::vector<PeerAddress> reachable_in_local_zone(TimePoint now) const;
    /// Peers that have not left, ordered by name, whether reachable or not. Peers that have been silent for
    /// too long are excluded.
    std::vector<FleetMember> members(TimePoint now) const;
    /// Whether a reachable peer of the local zone has a working store watch. Peers of other zones are
    /// excluded because their silence is detected late.
    bool any_watch_in_local_zone(TimePoint now) const;

  private:
    struct Peer {
        PeerRecord record;  ///< Excludes the servers, which are stored in the form that views refer to.
        std::vector<KnownServer> servers;
        TimePoint last_seen;
        TimePoint learned_at;
        bool was_seen = false;
        bool unreachable = false;
    };

    struct CachedView {
        ServiceView view;
        TimePoint made;
    };

    bool reachable(TimePoint now, const Peer& peer) const;
    bool takes_requests(TimePoint now, const Peer& peer) const;
    static bool has_same_servers(const Peer& peer, const PeerRecord& record);
    PeerChange change_by(TimePoint now, const Peer& peer, const PeerRecord& record) const;
    /// Moves the record's servers to the peer. Affinities are kept if the servers are the same.
    void take_servers(TimePoint now, Peer& peer, PeerRecord& record, bool same_servers) const;
    bool is_in_local_zone(const Peer& peer) const { return peer.was_seen && peer.record.zone == own_zone_; }
    Duration silent_after(const Peer& peer) const;
    bool is_member(TimePoint now, const Peer& peer) const;
    /// Updates `periods_` after a change of the peers.
    void count_peers();
    ServiceView make_view(TimePoint now, const std::string& service) const;

    std::string own_name_;
    std::string own_zone_;
    PeerTimes times_;
    std::map<std::string, Peer> peers_;
    RecordPeriods periods_ =
        record_periods({});  ///< Periods without pressure, from which silence timeouts are derived.
    mutable std::map<std::string, CachedView> views_;  ///< By service; cleared by every change of servers.
};

}  // namespace anisehold::membership
