/// @file
/// Runs the membership state machine over UDP, and decides which daemon is the gate of a server. Owns the
/// list of members and the socket; relies on membership/swim for every decision about a member's state.
#pragma once

#include <functional>
#include <vector>

#include "daemon/daemon_context.hpp"
#include "daemon/peer_client.hpp"
#include "membership/swim.hpp"
#include "net/udp_socket.hpp"

namespace anisehold::daemon {

class MembershipService {
  public:
    /// Called with the document revisions that a member announced.
    using RevisionListener = std::function<void(const membership::MemberInfo&, const DocumentRevisions&)>;

    MembershipService(DaemonContext& context, PeerClient& peers);

    /// Binds the UDP socket and starts gossiping.
    std::error_code start();
    void set_revision_listener(RevisionListener listener) { listener_ = std::move(listener); }
    /// Announces the document revisions of this daemon.
    void announce_revisions(const DocumentRevisions& revisions);
    /// Announces a state of this daemon during a planned stop: first leaving, then left.
    void announce_self(membership::MemberState state);

    const membership::MemberRecord* find(const std::string& id) const { return swim_.find(id); }
    std::vector<membership::MemberRecord> records() const { return swim_.records(); }
    /// Members that take new work. The list is cached until the membership changes.
    const std::vector<membership::MemberRecord>& working_members() const;
    /// Whether this daemon is among the first `count` working members for a duty by rendezvous hash, within
    /// `zone` or across all zones.
    bool is_among_first(std::size_t count, std::string_view duty,
                        std::optional<std::string_view> zone = std::nullopt) const;
    /// Increases with each change of any member.
    std::uint64_t version() const { return swim_.version(); }
    /// Merges another member's full list and returns this daemon's full list.
    std::vector<membership::MemberRecord> exchange_records(
        const std::vector<membership::MemberRecord>& theirs);
    /// A random member that is neither dead nor left.
    std::optional<membership::MemberInfo> random_peer() { return swim_.random_peer(); }

    /// Returns the gate of a server: the daemon on the server's own machine, otherwise a daemon chosen by
    /// rendezvous hash.
    std::optional<membership::MemberInfo> gate_of(const Endpoint& server, const std::string& zone) const;
    /// Records that connecting to this member's daemon failed. The member gates no servers for
    /// `kUnreachablePeriod`.
    void mark_unreachable(const std::string& id);

  private:
    void send(const std::vector<membership::Datagram>& datagrams);
    void on_datagram(const Endpoint& from, std::string_view bytes);
    void run_ticks();
    void run_full_exchanges();
    /// Requests a peer's full list and merges it. False if the peer didn't reply.
    bool exchange_with(const Endpoint& peer);
    void report_events();
    bool is_unreachable(const std::string& id, TimePoint now) const;
    /// The members that may gate servers of `zone`: the working members of the zone, or all working members
    /// if the zone has none. Excludes members to which this daemon recently failed to connect.
    std::vector<const membership::MemberInfo*> gate_members(const std::string& zone) const;

    DaemonContext& context_;
    PeerClient& peers_;
    membership::Swim swim_;
    net::UdpSocket socket_;
    RevisionListener listener_;
    std::map<std::string, TimePoint> unreachable_until_;
    mutable std::vector<membership::MemberRecord> working_;
    mutable std::optional<std::uint64_t> working_version_;
};

}  // namespace anisehold::daemon
