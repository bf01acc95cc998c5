/// @file
/// The daemons that this one knows, and the servers beside them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "membership/peer_record.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::membership {

/// How long a peer may be silent before it counts as unreachable, and as gone.
struct PeerTimes {
    milliseconds silent_after{3'500};  ///< At least; in a large fleet it grows with the period of records.
    milliseconds forgotten_after{600'000};
};

/// How often a daemon tells each of `peers` others about itself: once a second, faster while services lack
/// room, and more slowly in a large fleet, so that no daemon sends more than a hundred records a second.
Duration record_period(std::size_t peers, bool under_pressure = false);

/// A server that requests can be sent to, with the age of what is known of it.
struct KnownServer {
    ServerRecord server;
    std::string peer;  ///< Name of the daemon beside it.
    std::string zone;
    Endpoint call;
    std::uint64_t boot_id = 0;
    Duration age{};  ///< Since the record came.
};

/// What a record changed.
enum class PeerChange {
    kNone,       ///< Old news.
    kRefreshed,  ///< Only load or sequence.
    kAppeared,   ///< A new peer, a new boot, or one heard again after silence.
    kServers,    ///< Its servers or its leaving changed.
};

/// Address of a peer that may not have been heard yet.
struct PeerAddress {
    std::string name;
    Endpoint gossip;
};

/// Keeps the latest record of each peer. Pure.
class PeerDirectory {
  public:
    PeerDirectory(std::string own_name, PeerTimes times) : own_name_(std::move(own_name)), times_(times) {}

    /// A record came from its own daemon.
    PeerChange on_record(TimePoint now, const PeerRecord& record);
    /// An address was read from the store; nothing is known of its daemon's state.
    void on_address(TimePoint now, const PeerAddress& address);
    /// A connection to the peer failed: it counts as unreachable until it is heard again.
    void on_unreachable(const std::string& name, std::uint64_t boot_id);
    /// Newer load of a server, told on an answer.
    void on_load(const std::string& name, const ServerRecord& server);
    /// Forgets peers that were silent for long.
    void expire(TimePoint now);

    /// Servers of `service` beside reachable peers that aren't leaving.
    std::vector<KnownServer> servers_of(TimePoint now, const std::string& service) const;
    /// All servers beside reachable peers that aren't leaving.
    std::vector<ServerRecord> servers(TimePoint now) const;
    /// Where records go: all known peers, silent ones too, so that one that restarts is found.
    std::vector<PeerAddress> addresses() const;
    /// Peers heard lately.
    std::size_t reachable_count(TimePoint now) const;
    std::size_t known_count() const { return peers_.size(); }

  private:
    struct Peer {
        PeerRecord record;
        TimePoint heard;
        TimePoint learned;
        bool was_heard = false;
        bool unreachable = false;
    };

    bool reachable(TimePoint now, const Peer& peer) const;
    Duration silent_after() const;

    std::string own_name_;
    PeerTimes times_;
    std::map<std::string, Peer> peers_;
};

}  // namespace anisehold::membership
