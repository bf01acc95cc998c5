/// @file
/// Sends this daemon's record to its peers, and takes in theirs.
///
/// Owns the gossip socket and the sequence of records. Relies on the directory of peers for addresses and
/// periods, on the gate for its server's numbers, and on UDP, of which a datagram may be lost: records
/// repeat.
#pragma once

#include <functional>
#include <vector>

#include "membership/peer_directory.hpp"
#include "net/udp_socket.hpp"
#include "sidecar/configuration_holder.hpp"
#include "sidecar/local_gate.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Sends this daemon's record to every known peer periodically, and at once when something changes.
class PeerExchange {
  public:
    PeerExchange(SidecarContext& context, membership::PeerDirectory& directory, LocalGate& gate,
                 ConfigurationHolder& configuration);

    /// Takes a datagram that isn't a peer's record; true if it was meant for it.
    using OtherReceiver = std::function<bool(std::string_view bytes)>;

    std::error_code start();
    /// Sets who is given datagrams that aren't records.
    void set_other_receiver(OtherReceiver receiver) { other_receiver_ = std::move(receiver); }
    /// `listener` gets the address of a peer that has just started, or is heard again.
    void set_appearance_listener(std::function<void(const Endpoint& gossip)> listener) {
        appearance_listener_ = std::move(listener);
    }
    void send(const Endpoint& to, std::string_view bytes) { socket_.send(to, bytes); }
    /// Sends the record to all peers now.
    void announce();

  private:
    /// Share of each service's slots that is taken, over all servers that are known.
    overload::Utilizations utilizations(TimePoint now) const;
    /// Moves the admitted shares of root requests, and logs what moved.
    void end_limit_period(TimePoint now);
    void announce_periodically();
    /// Sends the record to all peers when refusals begin after a calm time, if there were any here.
    void announce_onset();
    void send_record_to(const std::vector<membership::PeerAddress>& peers);
    void receive(std::string_view bytes);
    membership::PeerRecord own_record();
    /// Gets the configuration from a peer that has a higher version.
    void fetch_configuration(const Endpoint& peer, std::uint64_t version);

    SidecarContext& context_;
    membership::PeerDirectory& directory_;
    LocalGate& gate_;
    ConfigurationHolder& configuration_;
    net::UdpSocket socket_;
    OtherReceiver other_receiver_;
    std::function<void(const Endpoint& gossip)> appearance_listener_;
    std::uint64_t sequence_ = 0;
    std::uint64_t fetching_version_ = 0;
    TimePoint opened_;     ///< When records could come in first.
    TimePoint announced_;  ///< When this daemon's record last went to all known peers.
};

/// Path at the hop listener under which a daemon gives its configuration to peers.
inline constexpr const char* kConfigurationPath = "/anisehold/configuration";

}  // namespace anisehold::sidecar
