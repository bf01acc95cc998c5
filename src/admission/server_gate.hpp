/// @file
/// The gate of one server: which calls run there now, which wait, and which are refused.
///
/// All calls to a server pass its one gate, so it counts what is in flight exactly. It owns that count, the
/// queue, the server's rate (server_rate) and its mean times; the limit comes from a ConcurrencyLimit. It
/// relies on its caller for the clock, and to end or abandon each call once. Pure.
#pragma once

#include <cstdint>
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

/// What the gate needs to know of a call. The sidecar sets id, priority, root_started and deadline; rows with
/// a weight and a limit, and calls in progress, are those of `anisehold serve`.
struct GateCall {
    std::uint64_t id = 0;           ///< Unique in this process.
    unsigned priority = 0;          ///< 0 is the most important.
    bool root_in_progress = false;  ///< Work has been done for its root already.
    std::string row;                ///< Table row; calls of one row share its weight and limit.
    unsigned row_weight = 1;
    unsigned row_limit = 0;  ///< Most calls of the row in flight at this server; 0 for no limit.
    TimePoint root_started;  ///< As far as this daemon knows.
    TimePoint deadline;
    TimePoint latest_start = TimePoint::max();  ///< Its caller doesn't wait longer at this gate.
};

/// kRefused: overloaded.
enum class GateVerdict { kAdmitted, kQueued, kRefused };

struct ArrivalDecision {
    GateVerdict verdict = GateVerdict::kAdmitted;
    Duration retry_after{};                ///< When refused: when a slot is expected to be free.
    std::optional<std::uint64_t> evicted;  ///< A waiting call that is refused in favour of this one.
    TimePoint give_up_at;                  ///< When queued: latest moment at which it is still worth running.
};

/// A snapshot for reports and status pages.
struct GateLoad {
    unsigned in_flight = 0;
    unsigned queued = 0;
    unsigned limit = 0;
};

struct GateOptions {
    bool by_priority = true;  ///< Off only in the lab: first come, first served.
    /// Most calls that wait, as a multiple of the limit; at least 16 may. Chosen, not measured.
    double queue_per_limit = 4;
};

/// Decides which calls run at one server.
///
/// A call that comes is admitted if fewer run than the limit, and fewer of its row than the row's, and the
/// server's rate allows one more. Else it is refused at once if it isn't expected to be served before its
/// deadline, or to be due by the rate while its caller waits; else it waits. If the queue is full, the last
/// in order is refused in favour of a better one. The order: priority, then calls whose root has had work
/// done, then rows by weight (stride scheduling), then the oldest root.
class ServerGate {
  public:
    ServerGate(std::unique_ptr<ConcurrencyLimit> limit, GateOptions options);

    /// A call came: whether it runs now, waits or is refused.
    ArrivalDecision arrive(TimePoint now, const GateCall& call);
    /// Ends a dispatched call. Returns the waiting calls that run now.
    std::vector<std::uint64_t> finish(TimePoint now, std::uint64_t id, SampleOutcome outcome,
                                      Duration nested_time);
    /// Starts the waiting calls that the server's rate lets run now; returns their ids.
    std::vector<std::uint64_t> release(TimePoint now) { return admit_waiting(now); }
    /// When the next waiting call is due; nothing if none waits for the rate alone.
    std::optional<TimePoint> next_release(TimePoint now) const;
    /// Takes a waiting call out (its caller has gone or its time is up).
    void abandon(std::uint64_t id);

    GateLoad load() const;
    /// Most calls that run at the same time under both limits: the slots, and the rate with the time that a
    /// call takes.
    unsigned usable_limit(TimePoint now) const;
    /// Whether calls wait, or are refused, because of the server's rate: slots are free.
    bool is_rate_limited() const { return rate_.limit() && running_.size() < limit_->limit(); }
    /// The rate that the server takes, as far as its answers name one.
    ServerRate& rate() { return rate_; }
    const ServerRate& rate() const { return rate_; }
    /// The least important priority that would not be refused now.
    unsigned admitted_priority() const;
    /// Replaces the limit strategy, keeping all calls.
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
    };

    bool has_slot_for(const GateCall& call) const;
    /// A waiting call may be due that nobody has released yet: it goes first.
    bool runs_at_once(TimePoint now, const GateCall& call) const;
    bool goes_before(const Waiting& left, const Waiting& right) const;
    void start(TimePoint now, const GateCall& call);
    /// Starts all waiting calls that have a slot, the first in order first; returns their ids.
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
    std::unordered_map<std::uint64_t, Running> running_;
    std::map<std::string, unsigned> running_by_row_;
    std::map<std::string, double> passes_;  // Stride scheduling: work given to each row over its weight.
    double current_pass_ = 0;
    Duration service_time_{};  // Moving mean of completed calls, without the calls nested in them.
    Duration hold_time_{};     // Like service_time_, nested calls included: how long a slot is taken.
};

}  // namespace anisehold::admission
