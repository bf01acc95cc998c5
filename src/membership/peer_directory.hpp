/// @file
/// The daemons that this sidecar knows, and the servers beside them. Owns the latest record of each peer;
/// relies on records, on the store's listing and on failed connections being reported to it. It decides which
/// servers of a service are preferred; selection/ chooses among them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "membership/peer_record.hpp"
#include "membership/record_periods.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::membership {

/// How long a peer may be silent before it counts as unreachable, and as gone.
struct PeerTimes {
    milliseconds silent_after{3'500};  ///< At least; in a large fleet it grows with the period of records.
    milliseconds forgotten_after{600'000};  ///< Chosen, not measured.
};

/// A server that requests can be sent to, with the age of what is known of it.
struct KnownServer {
    ServerRecord server;
    std::string peer;  ///< Name of the daemon beside it.
    std::string zone;
    Endpoint call;
    std::uint64_t boot_id = 0;
    TimePoint last_seen;  ///< When its daemon's record came.
    std::uint64_t affinity =
        0;  ///< Rank of the server for this daemon: the same at every look, random among daemons.
};

/// The servers of one service that requests can be sent to. The pointers hold until the directory changes, so
/// a view isn't kept while its fiber waits.
///
/// The usual servers come first: a few of each list, by affinity, so that connections to them stay warm and
/// their number doesn't grow with the fleet.
struct ServiceView {
    std::vector<const KnownServer*> local;   ///< In the own zone.
    std::vector<const KnownServer*> remote;  ///< In the others.
    std::size_t preferred_local = 0;         ///< How many of `local` are usual.
    std::size_t preferred_remote = 0;        ///< The same of `remote`.
    const KnownServer* own = nullptr;        ///< The one beside this daemon; also in `local`.
    double mean_latency_us = 0;              ///< Of those that were measured; 0 if none was.

    bool empty() const { return local.empty() && remote.empty(); }
};

/// What a record changed.
enum class PeerChange {
    kNone,            ///< Late, or received before.
    kRefreshed,       ///< Only load or sequence.
    kAppeared,        ///< A new peer, a new boot, or one heard again after silence.
    kServersChanged,  ///< Its servers or its leaving changed.
};

/// Address of a peer that may not have been heard yet.
struct PeerAddress {
    std::string name;
    Endpoint gossip;
};

/// A peer that counts as a member of the fleet.
struct FleetMember {
    std::string name;
    Endpoint gossip;
    TimePoint last_seen;
    bool takes_requests = false;  ///< Reachable, and not leaving.
    bool watches_store = false;
    bool local = false;  ///< Of the own zone.
};

/// Keeps the latest record of each peer. Pure.
class PeerDirectory {
  public:
    PeerDirectory(std::string own_name, std::string own_zone, PeerTimes times)
        : own_name_(std::move(own_name)), own_zone_(std::move(own_zone)), times_(times) {}

    /// A record came from its own daemon.
    PeerChange on_record(TimePoint now, PeerRecord record);
    /// An address was read from the store; nothing is known of its daemon's state.
    void on_address(TimePoint now, const PeerAddress& address);
    /// A connection to the peer failed: it counts as unreachable until it is heard again.
    void on_unreachable(const std::string& name, std::uint64_t boot_id);
    /// Newer load of a server, which came with an answer.
    void on_load(const std::string& name, const ServerRecord& server);
    /// Forgets peers that were silent for long.
    void expire(TimePoint now);

    /// Servers of `service` beside reachable peers that aren't leaving. Made anew after a change and every
    /// tenth of a second, so that the cost of a choice doesn't grow with the fleet.
    const ServiceView& servers_of(TimePoint now, const std::string& service) const;
    /// Calls `visit(record)` for each server beside a reachable peer that isn't leaving.
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
    /// Where records go: all known peers, silent ones too, so that one that restarts is found.
    std::vector<PeerAddress> addresses() const;
    /// The same for the peers of the own zone alone.
    std::vector<PeerAddress> local_zone_addresses() const;
    PeerCounts counts() const;
    /// Peers heard lately.
    std::size_t reachable_count(TimePoint now) const;
    std::size_t known_count() const { return peers_.size(); }
    bool knows(const std::string& name) const { return peers_.contains(name); }
    /// The reachable peers of the own zone that aren't leaving.
    std::vector<PeerAddress> reachable_in_local_zone(TimePoint now) const;
    /// Peers that haven't left, by name, reachable or not; one that is silent for long isn't counted any
    /// more.
    std::vector<FleetMember> members(TimePoint now) const;
    /// Whether a reachable peer of the own zone has a working watch of the store. Those of other zones aren't
    /// counted: their silence is noticed late.
    bool any_watch_in_local_zone(TimePoint now) const;

  private:
    struct Peer {
        PeerRecord record;  ///< Without its servers, which are kept as they are handed out.
        std::vector<KnownServer> servers;
        TimePoint last_seen;
        TimePoint learned;
        bool was_heard = false;
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
    /// Moves the record's servers to the peer. Their affinities are kept while they are the same servers.
    void take_servers(TimePoint now, Peer& peer, PeerRecord& record, bool same_servers) const;
    bool is_near(const Peer& peer) const { return peer.was_heard && peer.record.zone == own_zone_; }
    Duration silent_after(const Peer& peer) const;
    bool is_member(TimePoint now, const Peer& peer) const;
    /// Brings `periods_` up to date after a change of the peers.
    void count_peers();
    ServiceView make_view(TimePoint now, const std::string& service) const;

    std::string own_name_;
    std::string own_zone_;
    PeerTimes times_;
    std::map<std::string, Peer> peers_;
    RecordPeriods periods_ = record_periods({});       ///< Of calm times, by which silence is judged.
    mutable std::map<std::string, CachedView> views_;  ///< By service; emptied by every change of servers.
};

}  // namespace anisehold::membership
