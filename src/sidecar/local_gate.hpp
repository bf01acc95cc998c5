/// @file
/// The gate of the server beside this daemon: decides on each request, and runs those that are admitted.
///
/// The questions are asked in this order. Each names the file of its rule, and the error kind that a refusal
/// gives. What is known at once comes before what is waited for, and the slot comes last: a request that
/// holds one and doesn't run takes it from others.
///
///  1. Does the server take requests? registration/server_registry; `kNoBackend`.
///  2. If the request is a suspect: is it its turn? suspects/suspect_slots; `kQueueTimeout`.
///  3. Was it condemned meanwhile? suspects/crash_ledger; `kCrashesServers`. Asked before 2 gives its
///  refusal.
///  4. Can the server be connected to? connection/connect_backoff; `kConnectFailed`.
///  5. Is there a slot, and does the server's rate allow one more, at once or soon? admission/server_gate,
///  admission/server_rate; `kOverloaded`, `kQueueTimeout`.
///  6. Does the server still take requests? registration/server_registry; `kNoBackend`.
///  7. Is the caller still there? sidecar/server_exchange; `kCancelled`.
///
/// Then the server is sent the request. Of the questions, 2 and 5 block the request's fiber. A request that
/// is refused here has not run, and the caller's daemon may try another server (sidecar/call_attempts).
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "hop/hop_header.hpp"
#include "net/http_types.hpp"
#include "sidecar/attempt_outcome.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/gate_servers.hpp"
#include "sidecar/server_exchange.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// All requests for this machine's server pass here, so its state is known exactly. Owns the servers beside,
/// and the counts of requests here. Crashes go to `CrashExchange`, runs and calls to the context's trackers.
class LocalGate {
  public:
    LocalGate(SidecarContext& context, CrashExchange& crashes)
        : context_(context), crashes_(crashes), servers_(context) {}

    /// `listener` is called when the server beside has crashed, or says in an answer that it leaves.
    void set_change_listener(std::function<void()> listener) { change_listener_ = std::move(listener); }

    /// Runs a request at the server that `call` names, or refuses it. Blocks the fiber; meanwhile `progress`
    /// shows whether the server may have been sent anything.
    GateAnswer run(net::HttpRequest request, const hop::HopRequest& call, net::CancelSignal* cancel,
                   net::ExchangeProgress& progress);

    /// The server beside was asked for its health, and registered.
    void on_health(const HealthAnswer& health);

    /// The servers beside: they register here, and peers are sent their state.
    GateServers& servers() { return servers_; }
    const GateServers& servers() const { return servers_; }
    /// Requests that wait here or are at the server.
    std::size_t in_flight() const { return in_flight_; }
    /// Share of the requests at the server that are retries, or made by runs that are; 0 to 1.
    double retry_share() const;

  private:
    /// The turn of a request that is a suspect; nothing if it got none in time. Blocks the fiber.
    std::optional<SuspectQueue::Turn> take_turn(GateServer& server, const GateRun& run) const;
    /// What the request is refused with before it is admitted. Blocks the fiber.
    std::optional<GateAnswer> admit(GateServer& server, const GateRun& run, bool has_turn) const;
    /// A request was refused because of the server's rate.
    void note_rate_refusal(GateServer& server) const;
    /// Runs a request that was admitted, and frees its slot. Blocks the fiber.
    GateAnswer run_admitted(GateServer& server, const GateRun& run, net::HttpRequest& request,
                            TimePoint started);
    /// Sends it to the server, and counts it as running meanwhile.
    GateAnswer run_at_server(GateServer& server, const GateRun& run, net::HttpRequest& request);
    /// Takes in what the server's answer says of the server.
    void take_notice(GateServer& server, const std::string& instance, const ServerExchangeEnd& end);
    /// Takes in a limit that somebody else knows, which counts until the server itself has answered.
    static void take_reported_rate(GateServer& server, RequestRate rate, RateSource source);
    /// The connection of a request broke: reports the server's crash, if that was the cause. Blocks the
    /// fiber.
    void look_for_crash(GateServer& server, const std::string& instance);
    void finish(GateServer& server, const GateRun& run, TimePoint started, const GateAnswer& answer);
    void log(const GateRun& run, const GateAnswer& answer, Duration waited) const;

    SidecarContext& context_;
    CrashExchange& crashes_;
    GateServers servers_;
    std::function<void()> change_listener_ = [] {};
    std::uint64_t next_id_ = 1;
    std::size_t in_flight_ = 0;
    unsigned running_ = 0;          ///< Requests at the server.
    unsigned running_retries_ = 0;  ///< The sum of their `retry_percent`.
};

}  // namespace anisehold::sidecar
