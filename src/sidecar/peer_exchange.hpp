/// @file
/// Sends this daemon's record to its peers, and processes theirs.
///
/// Owns the gossip socket and the sequence of records. Relies on the peer directory for addresses and
/// periods, on the gate for the load of its server, and on UDP: datagrams may be lost, so records are
/// repeated.
#pragma once

#include <functional>
#include <vector>

#include "membership/peer_directory.hpp"
#include "net/udp_socket.hpp"
#include "sidecar/configuration_holder.hpp"
#include "sidecar/forecast_updater.hpp"
#include "sidecar/local_gate.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Sends this daemon's record to every known peer periodically, and immediately when something changes.
class PeerExchange {
  public:
    PeerExchange(SidecarContext& context, membership::PeerDirectory& directory, LocalGate& gate,
                 ConfigurationHolder& configuration);

    /// Handles a datagram that isn't a peer record; returns true if the datagram was recognized.
    using OtherReceiver = std::function<bool(std::string_view bytes)>;

    std::error_code start();
    /// Sets the receiver of datagrams that aren't records.
    void set_other_receiver(OtherReceiver receiver) { other_receiver_ = std::move(receiver); }
    /// `listener` is called with the address of a peer that has started, or whose records arrive again.
    void set_appearance_listener(std::function<void(const Endpoint& gossip)> listener) {
        appearance_listener_ = std::move(listener);
    }
    void send(const Endpoint& to, std::string_view bytes) { socket_.send(to, bytes); }
    /// Sends the record to all peers immediately.
    void announce();

  private:
    /// Share of each service's slots in use, over all known servers.
    overload::Utilizations utilizations(TimePoint now) const;
    /// Updates the admitted shares of root requests, and logs the changes.
    void end_limit_period(TimePoint now);
    /// Tells the gate which servers of its service are known, for its retry budget.
    void tell_service_servers(TimePoint now);
    /// Logs changes of the limit of client requests by retries.
    void log_retry_limit(TimePoint now);
    /// Tells the overload tracker which shares of their arrivals the servers of a peer decline.
    void report_declines(TimePoint now, const std::vector<membership::ServerRecord>& servers);
    void announce_periodically();
    /// Sends the record to all peers when refusals begin after a period without any, if calls were refused
    /// here.
    void announce_onset();
    void send_record_to(const std::vector<membership::PeerAddress>& peers, RecordReceivers receivers);
    void receive(std::string_view bytes);
    /// Handles the parts of a new record that concern overload.
    void on_overload_report(TimePoint now, const membership::PeerRecord& record);
    membership::PeerRecord own_record(RecordReceivers receivers);
    /// Adds the demand of this daemon's callers to the record, and processes that of a peer.
    void add_caller_report(membership::PeerRecord& record);
    void receive_caller_report(TimePoint now, const membership::PeerRecord& record);
    /// Requests the configuration from a peer that has a higher version.
    void fetch_configuration(const Endpoint& peer, std::uint64_t version);

    SidecarContext& context_;
    membership::PeerDirectory& directory_;
    LocalGate& gate_;
    ConfigurationHolder& configuration_;
    ForecastUpdater forecast_;
    net::UdpSocket socket_;
    OtherReceiver other_receiver_;
    std::function<void(const Endpoint& gossip)> appearance_listener_;
    std::uint64_t sequence_ = 0;
    std::uint64_t fetching_version_ = 0;
    TimePoint opened_;     ///< Time when the socket was opened.
    TimePoint announced_;  ///< Time when this daemon's record was last sent to all known peers.
};

/// Path at the hop listener where peers request the configuration.
inline constexpr const char* kConfigurationPath = "/anisehold/configuration";

}  // namespace anisehold::sidecar
