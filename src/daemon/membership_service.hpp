/// @file
/// Runs the membership state machine over UDP, and decides which daemon is the gate of a server. Owns the
/// list of members and the socket; relies on membership/swim for every decision on a member's state.
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
    /// Called with the document revisions that a member has.
    using RevisionListener = std::function<void(const membership::MemberInfo&, const DocumentRevisions&)>;

    MembershipService(DaemonContext& context, PeerClient& peers);

    /// Binds the UDP socket and starts to gossip.
    std::error_code start();
    void set_revision_listener(RevisionListener listener) { listener_ = std::move(listener); }
    /// Announces which documents this daemon has.
    void announce_revisions(const DocumentRevisions& revisions);
    /// Announces a planned stop: leaving, then left.
    void announce_self(membership::MemberState state);

    const membership::MemberRecord* find(const std::string& id) const { return swim_.find(id); }
    std::vector<membership::MemberRecord> records() const { return swim_.records(); }
    /// Members that take new work; kept until something changes.
    const std::vector<membership::MemberRecord>& working_members() const;
    /// Rises with each change of any member.
    std::uint64_t version() const { return swim_.version(); }
    /// Takes in a full list and returns the own one.
    std::vector<membership::MemberRecord> exchange_records(
        const std::vector<membership::MemberRecord>& theirs);
    /// A random member that isn't gone.
    std::optional<membership::MemberInfo> random_peer() { return swim_.random_peer(); }

    /// The gate of a server: the daemon on the server's own machine, else one by rendezvous hash.
    std::optional<membership::MemberInfo> gate_of(const Endpoint& server, const std::string& zone) const;
    /// A call to this member's daemon failed before anything was sent; it is passed over for
    /// `kUnreachableHolds`.
    void mark_unreachable(const std::string& id);

  private:
    void send(const std::vector<membership::Datagram>& datagrams);
    void on_datagram(const Endpoint& from, std::string_view bytes);
    void run_ticks();
    void run_full_exchanges();
    void report_events();
    bool is_unreachable(const std::string& id, TimePoint now) const;
    /// The members that gate servers of `zone`: working ones of that zone, else all working ones. Members
    /// that this daemon just failed to reach are left out.
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
