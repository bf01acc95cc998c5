/// @file
/// The gate of the local server: decides on each request, and runs those that are admitted.
///
/// The checks run in this order; each names the file that implements its rule and the error kind returned on
/// refusal. Checks that can be decided at once precede those that wait, and the slot comes last, because a
/// request that holds a slot without running takes it from others.
///
///  1. Does the server accept requests? registration/server_registry; `kNoBackend`.
///  2. If the request is a suspect: is it its turn? suspects/suspect_slots; `kQueueTimeout`.
///  3. Has the request been condemned? suspects/crash_ledger; `kCrashesServers`. This result takes precedence
///     over a timeout in 2.
///  4. If this daemon is stopping: would the request be completed in time? stopping/completion; `kNoBackend`.
///  5. Can the server be connected to? connection/connect_backoff; `kConnectFailed`.
///  6. Is a slot free, and does the server's rate limit allow the request, now or soon?
///     admission/server_gate, admission/server_rate; `kOverloaded`, `kQueueTimeout`. A request with a grant
///     takes its reserved slot instead (reservation/grant_table); `kQueueTimeout` if the grant has ended.
///  7. Does the server still accept requests, and would the request still be completed in time? As in 1
///     and 4.
///  8. If the request is a retry: does the budget grant it? retry/gate_budget; `kRetriesExhausted`.
///  9. Is the caller still connected? sidecar/server_exchange; `kCancelled`.
///
/// Then the request is sent to the server. Checks 2 and 6 block the request's fiber. A request that is
/// refused here has not run, and the caller's daemon may try another server (sidecar/call_attempts).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "hop/hop_header.hpp"
#include "net/http_types.hpp"
#include "retry/gate_budget.hpp"
#include "sidecar/attempt_outcome.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/gate_servers.hpp"
#include "sidecar/open_request.hpp"
#include "sidecar/server_exchange.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// All requests for this machine's server pass through the gate, so the server's load is known exactly. Owns
/// the local servers and the request counts. Reports crashes to `CrashExchange`, and runs and calls to the
/// trackers in the context.
class LocalGate {
  public:
    LocalGate(SidecarContext& context, CrashExchange& crashes)
        : context_(context), crashes_(crashes), servers_(context) {}

    /// `listener` is called when the local server has crashed, or announces in a response that it is leaving.
    void set_change_listener(std::function<void()> listener) { change_listener_ = std::move(listener); }

    /// Runs a request at the server named by `call`, or refuses it. Blocks the fiber; `progress` shows at any
    /// time whether something may have been sent to the server.
    GateAnswer run(net::HttpRequest request, const hop::HopRequest& call, net::CancelSignal* cancel,
                   net::ExchangeProgress& progress);

    /// Handles a message about a reservation (src/reservation): asks for a slot, renews a place in the queue,
    /// or gives one back. Refuses when the server or this daemon is leaving, or the request would not be
    /// completed before a planned stop ends. Blocks the fiber for at most `reservation::maxReplyDelay`.
    GateAnswer reserve(const hop::HopRequest& call, net::CancelSignal* cancel);

    /// Processes the health response of the local server, after it has been registered.
    void on_health(const HealthAnswer& health);

    /// The local servers.
    GateServers& servers() { return servers_; }
    const GateServers& servers() const { return servers_; }
    /// Number of requests waiting at the gate or running at the server.
    std::size_t in_flight() const { return in_flight_.size(); }
    /// The requests waiting at the gate or running at the server.
    OpenRequests open_requests(TimePoint now) const;
    /// Refuses the requests that wait for a slot. They have not been sent to a server.
    void refuse_waiting() { servers_.refuse_waiting(); }
    /// Sets the known servers of a local server's service; see `retry::GateBudget::on_servers`.
    void on_service_servers(TimePoint now, const std::string& service, std::size_t servers,
                            std::uint64_t identity);
    /// Applies changed settings.
    void apply_settings();
    /// Share (0 to 1) of the requests at the server that are retries, or that were made by a run that is a
    /// retry.
    double retry_share() const;

  private:
    /// Waits for the turn of a suspect request; returns nothing if there was none in time. Blocks the fiber.
    std::optional<SuspectQueue::Turn> wait_for_turn(GateServer& server, const GateRun& run) const;
    /// Runs checks 3 to 6; returns the refusal, if any. Blocks the fiber.
    std::optional<GateAnswer> admit(GateServer& server, const GateRun& run, bool has_turn) const;
    /// Asks for a slot or renews a place. Blocks the fiber.
    GateAnswer reserve_at(GateServer& server, const hop::HopRequest& call, net::CancelSignal* cancel);
    /// Whether reservations at the server are accepted.
    bool may_grant(const std::string& instance) const;
    /// Records that a request was refused because of the server's rate limit.
    void record_rate_refusal(GateServer& server) const;
    /// Whether a run of this row would be completed before a planned stop of this daemon ends, if there is
    /// one.
    bool can_complete(const std::string& row, TimePoint deadline) const;
    /// Runs checks 7 and 8; returns the refusal, if any.
    std::optional<GateAnswer> refusal_of_admitted(const GateServer& server, const GateRun& run);
    /// Runs an admitted request and frees its slot. Blocks the fiber.
    GateAnswer run_admitted(GateServer& server, const GateRun& run, net::HttpRequest& request,
                            TimePoint started);
    /// Sends the request to the server, and counts it as running until the response arrives.
    GateAnswer run_at_server(GateServer& server, const GateRun& run, net::HttpRequest& request);
    /// The retry budget of the local servers of a service. It outlasts each start of a server.
    retry::GateBudget& budget_of(const std::string& service);
    /// Whether the request is no retry, or the budget grants it.
    bool grants_retry(const GateServer& server, const GateRun& run);
    /// Records that the request has reached the server, for the retry budget.
    void record_arrival(const GateRun& run);
    /// Records whether the server declined the request although it had a free slot when it was sent the
    /// request, and marks the answer accordingly.
    void record_declined(GateServer& server, const GateRun& run, ServerExchangeResult& end,
                         bool had_free_slot);
    /// Processes what a response says about the server itself.
    void process_notice(GateServer& server, const std::string& instance, const ServerExchangeResult& end);
    /// Applies a rate limit reported by another party, which is valid until the server itself has responded.
    static void apply_reported_rate(GateServer& server, RequestRate rate, RateSource source);
    /// Called when the connection of a request broke: checks whether the server has crashed, and reports the
    /// crash. Blocks the fiber.
    void check_for_crash(GateServer& server, const std::string& instance);
    void finish(GateServer& server, const GateRun& run, TimePoint started, const GateAnswer& answer);
    void log(const GateRun& run, const GateAnswer& answer, Duration waited) const;

    SidecarContext& context_;
    CrashExchange& crashes_;
    GateServers servers_;
    std::function<void()> change_listener_ = [] {};
    std::uint64_t next_id_ = 1;
    std::set<const GateRun*> in_flight_;
    std::map<std::string, retry::GateBudget> budgets_;  ///< By service.
    TimePoint started_ = TimePoint::clock::now();
    TimePoint next_decline_report_;
    unsigned running_ = 0;          ///< Number of requests at the server.
    unsigned running_retries_ = 0;  ///< Sum of `retry_percent` of the requests at the server.
};

}  // namespace anisehold::sidecar
