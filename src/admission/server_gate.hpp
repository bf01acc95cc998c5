/// @file
/// The gate of one server decides which calls run at the server, which wait and which are rejected.
///
/// All calls to a server pass through its single gate, which therefore has an exact count of the calls in
/// flight. The gate owns this count, the queue, the server's rate limit (server_rate) and the mean service
/// times; a ConcurrencyLimit provides the concurrency limit. The caller provides the clock, and must finish
/// or abandon each call exactly once. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/concurrency_limit.hpp"
#include "admission/server_rate.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::admission {

/// The properties of a call that the gate uses. The sidecar sets id, priority, root_started, deadline,
/// latest_start, root_priority and calls_made; the other fields are used by `anisehold serve`.
struct GateCall {
    std::uint64_t id = 0;           ///< Unique in this process.
    unsigned priority = 0;          ///< 0 is the most important.
    bool root_in_progress = false;  ///< Earlier calls for the same root request have been served.
    std::string row;                ///< Table row; calls of one row share its weight and limit.
    unsigned row_weight = 1;
    unsigned row_limit = 0;  ///< Maximum calls of the row in flight at this server; 0 for no limit.
    TimePoint root_started;  ///< Start time of the root request as known to this daemon.
    TimePoint deadline;
    TimePoint latest_start = TimePoint::max();  ///< The caller stops waiting at this gate at this time.
    /// The call only reserves a slot; its request arrives later (`ServerGate::commit`) or never.
    bool is_reservation = false;
    /// Rank of the client's request that the call is made for; `priority` applies if it is unknown.
    /// Comparable to the `priority` of clients' requests.
    std::optional<unsigned> root_priority{};
    unsigned calls_made = 0;  ///< Calls that the parent has made before this one.
};

/// Decision on an arriving call; kRefused means that the server is overloaded.
enum class GateVerdict { kAdmitted, kQueued, kRefused };

struct ArrivalDecision {
    GateVerdict verdict = GateVerdict::kAdmitted;
    Duration retry_after{};                ///< If refused: expected time until a slot is free.
    std::optional<std::uint64_t> evicted;  ///< Waiting call refused in favor of this one.
    TimePoint give_up_at;                  ///< If queued: latest start that can meet the deadline.
};

/// Decision on a request that arrives for a reserved slot.
enum class CommitVerdict {
    kRuns,   ///< The request starts now.
    kWaits,  ///< No slot is free at this moment; the request precedes all waiting calls.
};

/// Snapshot of the gate for reports and status pages.
struct GateLoad {
    unsigned in_flight = 0;
    unsigned queued = 0;
    unsigned limit = 0;
};

struct GateOptions {
    bool by_priority = true;  ///< False makes the queue first-in, first-out; only the lab does so.
    /// Maximum queue length as a multiple of the limit; at least 16 calls may wait.
    double queue_per_limit = 4;
};

/// Admission control for one server.
///
/// An arriving call is admitted if the concurrency limit, the limit of its row and the server's rate all
/// allow one more call. Otherwise the call is refused at once if its expected start is too late for its
/// deadline, or if the server's rate doesn't allow the call before its caller stops waiting; else the call is
/// queued. If the queue is full, the last call in order is refused in favor of one with precedence. Calls are
/// ordered by the priority of their root where known and else by their own, then by the calls that their
/// parent has made (the more, the closer it is to completion), then calls of root requests in progress, then
/// rows by weight (stride scheduling), then the oldest root request.
///
/// An admitted reservation occupies a place without running. A few reservations are admitted ahead of free
/// slots, so that slots don't stay idle while the requests are on their way; a request that arrives for such
/// a place precedes all waiting calls. No call overtakes a waiting call with precedence that way.
class ServerGate {
  public:
    ServerGate(std::unique_ptr<ConcurrencyLimit> limit, GateOptions options);

    /// Admits, queues or refuses an arriving call.
    ArrivalDecision arrive(TimePoint now, const GateCall& call);
    /// Ends a dispatched call; returns the ids of the waiting calls that start now.
    std::vector<std::uint64_t> finish(TimePoint now, std::uint64_t id, SampleOutcome outcome,
                                      Duration nested_time);
    /// Starts the waiting calls that have a slot and that the server's rate allows now; returns their ids.
    std::vector<std::uint64_t> release(TimePoint now) { return admit_waiting(now); }
    /// Time at which the rate allows the next waiting call; empty unless a call waits for the rate alone.
    std::optional<TimePoint> next_release(TimePoint now) const;
    /// Removes a waiting call whose caller has left or whose time is up.
    void abandon(std::uint64_t id);

    /// The request of the admitted reservation `reserved` has arrived, and is called `id` from now on.
    CommitVerdict commit(TimePoint now, std::uint64_t reserved, std::uint64_t id);
    /// Frees the place of an admitted reservation, or of a committed request that still waits for its slot;
    /// returns the ids of the waiting calls that start now.
    std::vector<std::uint64_t> free_reserved(TimePoint now, std::uint64_t id);

    GateLoad load() const;
    /// Number of calls that run at the server.
    std::size_t executing() const { return running_.size() - reserved_; }
    /// Maximum concurrency under both limits: the number of slots, and the server's rate times the time that
    /// a call holds a slot.
    unsigned usable_limit(TimePoint now) const;
    /// Whether slots are free, so that calls wait or are refused because of the server's rate alone.
    bool is_rate_limited() const { return rate_.limit() && running_.size() < limit_->limit(); }
    /// Number of reservations that are admitted ahead of free slots.
    unsigned reservations_ahead() const;
    /// The server's rate limit, as named in its responses.
    ServerRate& rate() { return rate_; }
    const ServerRate& rate() const { return rate_; }
    /// The least important priority that is currently admitted or queued.
    unsigned admitted_priority() const;
    /// Replaces the limit strategy; running and waiting calls are kept.
    void set_limit(std::unique_ptr<ConcurrencyLimit> limit) { limit_ = std::move(limit); }

  private:
    struct Waiting {
        GateCall call;
        TimePoint arrived;
    };
    struct Running {
        std::string row;
        TimePoint started;
        unsigned in_flight = 0;
        bool is_reserved = false;  ///< The request has not arrived, or waits for its slot.
    };

    bool has_slot_for(const GateCall& call) const;
    /// Whether the limit of the call's row allows one more call.
    bool has_row_slot_for(const GateCall& call) const;
    /// Starts a committed request.
    void execute(TimePoint now, Running& running);
    /// Starts the committed requests that have a slot; returns their ids.
    std::vector<std::uint64_t> start_committed(TimePoint now);
    /// Whether the call starts without queuing. A waiting call that the rate allows but that has not been
    /// released yet takes precedence.
    bool starts_at_once(TimePoint now, const GateCall& call) const;
    bool precedes(const Waiting& left, const Waiting& right) const;
    void start(TimePoint now, const GateCall& call);
    /// Starts the waiting calls that have a slot, in order; returns their ids.
    std::vector<std::uint64_t> admit_waiting(TimePoint now);
    std::size_t position_of(const Waiting& newcomer) const;
    std::size_t queue_capacity() const;
    Duration expected_wait(std::size_t position) const;
    Duration time_to_run() const;
    double pass_of(const std::string& row) const;

    std::unique_ptr<ConcurrencyLimit> limit_;
    GateOptions options_;
    ServerRate rate_;
    std::vector<Waiting> queue_;
    std::unordered_map<std::uint64_t, Running> running_;  // Including reserved places.
    std::size_t reserved_ = 0;                            // Places in running_ that are reserved.
    std::deque<std::uint64_t> committed_;                 // Reserved places whose requests wait for a slot.
    std::map<std::string, unsigned> running_by_row_;
    std::map<std::string, double>
        passes_;  // Stride scheduling: number of started calls of each row over the row's weight.
    double current_pass_ = 0;
    Duration service_time_{};  // Moving mean of the time of completed calls, without nested calls.
    Duration hold_time_{};     // Moving mean including nested calls: how long a call holds a slot.
    Duration
        commit_delay_{};  // Moving mean of the time between the admission of a reservation and its request.
};

}  // namespace anisehold::admission
