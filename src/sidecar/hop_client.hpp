/// @file
/// Sends requests to the gates of other daemons (hop/hop_header), and returns their results. Owns the
/// connections to peers; reports the server load in each result to the peer directory.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <system_error>

#include "membership/peer_directory.hpp"
#include "net/http_client.hpp"
#include "reservation/caller_reservation.hpp"
#include "sidecar/attempt_outcome.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Maintains connections to peers, and translates every end of an exchange to a typed outcome.
class HopClient {
  public:
    HopClient(SidecarContext& context, membership::PeerDirectory& directory)
        : context_(context), directory_(directory) {}

    /// Runs a request at the gate of `server`. If the gate doesn't respond, the error is `kConnectFailed` if
    /// nothing was sent, or `kBackendFailed` if the request may have run. Blocks the fiber.
    GateAnswer run(const membership::KnownServer& server, net::HttpRequest request,
                   const hop::HopRequest& call, net::CancelSignal* cancel, net::ExchangeProgress& progress);

    /// Reserves a slot for the request at the gate of `server` (src/reservation), and waits for it for at
    /// most `call.max_wait`. Returns nothing if the request may be sent now: `call` then holds the grant and
    /// the remaining times. Otherwise returns the refusal, and the request has not run there: the gate's own,
    /// or `kConnectFailed` if the gate is silent or unreachable. Blocks the fiber.
    std::optional<GateAnswer> reserve(const membership::KnownServer& server, hop::HopRequest& call,
                                      net::CancelSignal* cancel);

  private:
    /// One reservation and the caller's view of it.
    struct Reservation {
        const membership::KnownServer& server;
        hop::HopRequest& call;
        net::CancelSignal* cancel;
        reservation::CallerReservation state;
        TimePoint started;
    };

    /// Sends one message of the reservation and applies the reply to its state. Returns the refusal, if any.
    std::optional<GateAnswer> ask(Reservation& reservation);
    /// Translates a missing reply to the state and to a refusal.
    GateAnswer on_no_reply(Reservation& reservation, const std::error_code& error);
    /// Gives a grant back, without waiting for the reply.
    void withdraw(const membership::KnownServer& server, const hop::HopRequest& call, std::uint64_t grant);
    /// Tells the peer directory what a gate reports of its server.
    void record_load(const membership::KnownServer& server, const hop::HopResult& result);
    /// Logs the number of silent gates, at most once a second.
    void log_silent_gate(const membership::KnownServer& server);

    struct Connections {
        std::uint64_t boot_id = 0;  ///< Connections to an earlier process of the peer are unusable.
        std::shared_ptr<net::HttpClient> client;
    };

    std::shared_ptr<net::HttpClient> client_for(const membership::KnownServer& server);

    SidecarContext& context_;
    membership::PeerDirectory& directory_;
    std::map<std::string, Connections> connections_;
    TimePoint next_silence_line_;
    unsigned silent_gates_ = 0;  ///< Reservations without a reply since the last line.
};

}  // namespace anisehold::sidecar
