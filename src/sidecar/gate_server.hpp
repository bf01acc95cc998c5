/// @file
/// One server as the gate beside it keeps it: who runs and waits there, and what its answers show.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

#include "admission/server_gate.hpp"
#include "connection/connect_backoff.hpp"
#include "connection/idle_limit.hpp"
#include "hop/hop_header.hpp"
#include "net/fiber_event.hpp"
#include "net/http_client.hpp"
#include "overload/time_weighted_mean.hpp"
#include "protocol/request_digest.hpp"
#include "registration/server_registry.hpp"
#include "selection/failure_share.hpp"
#include "sidecar/attempt_outcome.hpp"
#include "sidecar/crash_watch.hpp"
#include "sidecar/rate_lines.hpp"
#include "sidecar/suspect_queue.hpp"

namespace anisehold::sidecar {

/// One request at the gate.
struct GateRun {
    const hop::HopRequest& call;
    std::uint64_t id = 0;  ///< Unique in this process.
    std::string request_id;
    RequestIdentity identity;
    TimePoint arrived;
    TimePoint deadline;
    net::CancelSignal* cancel = nullptr;  ///< Null if nobody can give the request up.
    net::ExchangeProgress& progress;

    bool is_cancelled() const { return cancel != nullptr && cancel->cancelled(); }
};

/// A request that waits for a slot.
struct GateWaiter {
    net::FiberEvent decided;
    bool admitted = false;
};

/// All that is kept of one start of a server.
struct GateServer : std::enable_shared_from_this<GateServer> {
    GateServer(std::unique_ptr<admission::ConcurrencyLimit> limit, boost::asio::io_context& io,
               const registration::Heartbeat& heartbeat, const net::HttpPoolLimits& pool,
               const admission::GateOptions& options)
        : gate(std::move(limit), options),
          client(io, heartbeat.address, pool),
          crash(io, client),
          rate_lines(heartbeat.instance) {}

    admission::ServerGate gate;
    overload::TimeWeightedMean running;  ///< Requests in flight.
    net::HttpClient client;
    CrashWatch crash;
    SuspectQueue suspects;
    std::unordered_map<std::uint64_t, std::shared_ptr<GateWaiter>> waiters;
    Duration latency{};  ///< Moving average of answers.
    selection::FailureShare failures;
    connection::IdleLimit idle_limit;  ///< Of kept connections.
    connection::ConnectBackoff backoff;
    RateLines rate_lines;
    bool is_releasing = false;  ///< A fiber starts the waiting requests as the server's rate allows.
};

/// Asks the server's gate (`admission::ServerGate`) for a slot and waits for it; what the request is refused
/// with, if it is: `kOverloaded` if it may not wait, `kQueueTimeout` if no slot became free in time or the
/// caller left. Blocks the fiber.
std::optional<GateAnswer> wait_for_slot(GateServer& server, const GateRun& run);

/// Frees the slot of a request that was admitted, and wakes those that run now.
void free_slot(GateServer& server, TimePoint now, std::uint64_t run, admission::SampleOutcome sample);

/// Starts the waiting requests that the server's rate lets run now: its limit has moved or ended.
void release_waiting(GateServer& server, TimePoint now);

/// Takes in what the end of a request that began at `started` shows of the server's latency and failures.
void note_end(GateServer& server, TimePoint started, TimePoint now, const GateAnswer& answer, bool cancelled);

/// The number of requests in flight may have changed.
void note_running(GateServer& server, TimePoint now);

/// Writes the server's load into the result that the caller's daemon gets.
void fill_load(const GateServer& server, hop::HopResult& result);

/// Mean share of the server's limit that is in use, in percent.
unsigned busy_percent(const GateServer& server, TimePoint now);

}  // namespace anisehold::sidecar
