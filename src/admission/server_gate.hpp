/// @file
/// The gate of one server: exact count of calls in flight, learned limit, short queue by priority.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/concurrency_limit.hpp"
#include "protocol/error_kind.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::admission {

/// What the gate needs to know of a call.
struct GateCall {
    std::uint64_t id = 0;           ///< Unique in this process.
    unsigned priority = 0;          ///< 0 is the most important.
    bool root_in_progress = false;  ///< Work has been done for its root already.
    std::string row;                ///< Table row; calls of one row share its weight and limit.
    unsigned row_weight = 1;
    unsigned row_limit = 0;  ///< Most calls of the row in flight at this server; 0 for no limit.
    TimePoint root_started;  ///< As far as this daemon knows.
    TimePoint deadline;
};

enum class GateVerdict { kAdmitted, kQueued, kRefused };

struct ArrivalDecision {
    GateVerdict verdict = GateVerdict::kAdmitted;
    ErrorKind refusal = ErrorKind::kOverloaded;  ///< When refused.
    Duration retry_after{};                      ///< When refused: when room is expected.
    std::optional<std::uint64_t> evicted;        ///< A waiting call that is refused in favour of this one.
    TimePoint give_up_at;  ///< When queued: latest moment at which it is still worth running.
};

/// A snapshot for reports and status pages.
struct GateLoad {
    unsigned in_flight = 0;
    unsigned queued = 0;
    unsigned limit = 0;
};

/// In what order equal priorities leave the queue.
enum class QueueOrder {
    kOldestRootFirst,
    kNewestFirst,
};

struct GateOptions {
    QueueOrder order = QueueOrder::kOldestRootFirst;
    bool by_priority = true;     ///< Off only in the lab: first come, first served.
    double queue_per_limit = 4;  ///< Most calls that wait, as a multiple of the limit; at least a few may.
    double safety_margin = 0.0;  ///< Share of the limit kept free of the least important priorities.
};

/// Decides which calls run at one server. Pure.
class ServerGate {
  public:
    ServerGate(std::unique_ptr<ConcurrencyLimit> limit, GateOptions options);

    ArrivalDecision arrive(TimePoint now, const GateCall& call);
    /// Ends a dispatched call. Returns the waiting calls that run now.
    std::vector<std::uint64_t> finish(TimePoint now, std::uint64_t id, SampleOutcome outcome,
                                      Duration nested_time);
    /// Takes a waiting call out (its caller has gone or its time is up).
    void abandon(std::uint64_t id);

    GateLoad load() const;
    /// The least important priority that would not be refused now.
    unsigned admitted_priority() const;
    /// Average own service time; zero before the first sample.
    Duration service_time() const { return service_time_; }
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

    bool has_room_for(const GateCall& call) const;
    bool goes_before(const Waiting& left, const Waiting& right) const;
    void start(TimePoint now, const GateCall& call);
    std::size_t position_of(const Waiting& newcomer) const;
    std::size_t capacity() const;
    Duration expected_wait(std::size_t position) const;
    Duration time_to_run() const;
    double pass_of(const std::string& row) const;

    std::unique_ptr<ConcurrencyLimit> limit_;
    GateOptions options_;
    std::vector<Waiting> queue_;
    std::unordered_map<std::uint64_t, Running> running_;
    std::map<std::string, unsigned> running_by_row_;
    std::map<std::string, double> passes_;  // Stride scheduling: work given to each row over its weight.
    double current_pass_ = 0;
    Duration service_time_{};
    Duration hold_time_{};  // Like service_time_, nested calls included: how long a place is taken.
};

}  // namespace anisehold::admission
