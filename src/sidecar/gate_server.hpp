/// @file
/// State of one server at its gate: running and waiting requests, and what its responses show.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

#include "admission/declined_share.hpp"
#include "admission/server_gate.hpp"
#include "attribution/root_ranks.hpp"
#include "connection/connect_backoff.hpp"
#include "connection/idle_limit.hpp"
#include "hop/hop_header.hpp"
#include "net/fiber_event.hpp"
#include "net/http_client.hpp"
#include "overload/time_weighted_mean.hpp"
#include "protocol/request_digest.hpp"
#include "registration/server_registry.hpp"
#include "reservation/grant_table.hpp"
#include "selection/failure_share.hpp"
#include "sidecar/attempt_outcome.hpp"
#include "sidecar/crash_watch.hpp"
#include "sidecar/rate_lines.hpp"
#include "sidecar/suspect_queue.hpp"
#include "speed/server_speed.hpp"

namespace anisehold::sidecar {

/// One request at the gate.
struct GateRun {
    const hop::HopRequest& call;
    std::uint64_t id = 0;  ///< Unique in this process.
    std::string request_id;
    RequestIdentity identity;
    TimePoint arrived;
    TimePoint deadline;
    net::CancelSignal* cancel = nullptr;  ///< Null if the request can't be canceled.
    net::ExchangeProgress& progress;
    bool orders_by_root = false;  ///< Whether the request waits in the order of its root.

    bool is_cancelled() const { return cancel != nullptr && cancel->cancelled(); }
    /// Whether the caller left or broke off the request's body, so that the end says nothing about the
    /// server.
    bool is_abandoned() const { return is_cancelled() || progress.request_cut; }
};

/// A request that waits for a slot.
struct GateWaiter {
    net::FiberEvent decided;
    bool admitted = false;
};

/// State of one start of a server.
struct GateServer : std::enable_shared_from_this<GateServer> {
    GateServer(std::unique_ptr<admission::ConcurrencyLimit> limit, boost::asio::io_context& io,
               const registration::Heartbeat& heartbeat, const net::HttpPoolLimits& pool,
               const admission::GateOptions& options)
        : gate(std::move(limit), options),
          client(io, heartbeat.address, pool),
          crash(io, client),
          rate_lines(heartbeat.instance) {}

    admission::ServerGate gate;
    attribution::RootRanks root_ranks;   ///< Ranks of the roots of the arrivals.
    overload::TimeWeightedMean running;  ///< Requests in flight.
    net::HttpClient client;
    CrashWatch crash;
    SuspectQueue suspects;
    std::unordered_map<std::uint64_t, std::shared_ptr<GateWaiter>> waiters;
    Duration latency{};  ///< Moving average of the response time, at the server's usual speed.
    speed::ServerSpeed speed;
    selection::FailureShare failures;
    admission::DeclinedShare declined;
    connection::IdleLimit idle_limit;  ///< Maximum idle time of kept connections.
    connection::ConnectBackoff backoff;
    RateLines rate_lines;
    bool is_releasing = false;  ///< Whether a fiber is releasing waiting requests at the server's rate limit.
    reservation::GrantTable reservations;
    bool is_expiring = false;  ///< Whether a fiber ends the reservations whose time is up.
};

/// Tells a waiting request or reservation that it has a slot, or that it was refused in favor of another.
void wake(GateServer& server, std::uint64_t run, bool admitted);

/// Refuses all requests and reservations that wait for a slot.
void refuse_waiting(GateServer& server);

/// Starts waiting requests as the server's rate limit allows, until none waits for the rate.
void release_by_rate(GateServer& server);

/// Sets the properties by which a request waits in the order of its root.
void set_root_order(GateServer& server, TimePoint now, const hop::HopRequest& call,
                    admission::GateCall& gate_call);

/// Requests a slot from the server's gate (`admission::ServerGate`) and waits for it. Returns the refusal, if
/// any: `kOverloaded` if the request may not wait, `kQueueTimeout` if no slot became free in time or the
/// caller disconnected. Blocks the fiber.
std::optional<GateAnswer> wait_for_slot(GateServer& server, const GateRun& run);

/// Frees the slot of an admitted request, and wakes the requests that may run now.
void free_slot(GateServer& server, TimePoint now, std::uint64_t run, admission::SampleOutcome sample);

/// Starts the waiting requests that the server's rate limit allows, after the limit has changed or ended.
void release_waiting(GateServer& server, TimePoint now);

/// Updates the server's latency and failure share after a request that began at `started` has ended.
void record_end(GateServer& server, TimePoint started, TimePoint now, const GateAnswer& answer,
                bool cancelled);

/// Logs that the server began or ceased to decline a share of its arrivals.
void log_decline_change(const std::string& instance, const GateServer& server, TimePoint now,
                        admission::DeclineChange change);

/// Records the current number of requests in flight.
void record_in_flight(GateServer& server, TimePoint now);

/// Writes the server's load into the result for the caller's daemon.
void fill_load(const GateServer& server, hop::HopResult& result);

/// Mean utilization of the server's limit, in percent.
unsigned busy_percent(const GateServer& server, TimePoint now);

}  // namespace anisehold::sidecar
