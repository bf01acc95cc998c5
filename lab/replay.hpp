/// @file
/// Replays a recorded trace of arrivals in virtual time with the real decision classes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "admission/adaptive_throttle.hpp"
#include "admission/server_gate.hpp"
#include "config/mechanisms.hpp"
#include "lab/deployment.hpp"
#include "retry/retry_ledger.hpp"
#include "routing/backend_registry.hpp"
#include "routing/route_table.hpp"

namespace anisehold::lab {

/// One line of a trace: a root request, or a change of a service's speed.
struct TraceEvent {
    microseconds at{0};
    std::string kind;     ///< Kind of the request; empty for a change of speed.
    std::string zone;     ///< Zone in which the request arrived.
    std::string service;  ///< Service whose speed changes.
    double slow_factor = 1;
};

/// Reads a trace: CSV lines "MICROSECONDS,request,KIND,ZONE" and "MICROSECONDS,slow,SERVICE,FACTOR". If a
/// line is malformed, prints a message to standard error and returns nothing.
std::optional<std::vector<TraceEvent>> load_trace(const std::string& file_name);

/// Results of the requests of one kind.
struct ReplayOutcome {
    unsigned sent = 0;
    unsigned whole = 0;
    unsigned refused_early = 0;  ///< Rejected at the ingress, before any work.
    unsigned refused = 0;        ///< Refused at a gate, for the request itself or a nested call.

    bool operator==(const ReplayOutcome&) const = default;
};
using ReplayOutcomes = std::map<std::string, ReplayOutcome>;

/// Expected bounds of the outcome of one kind.
struct StatedOutcome {
    std::string kind;
    unsigned min_whole = 0;
    unsigned max_whole = 0;
};

/// Reads stated outcomes: CSV lines "KIND,LEAST_WHOLE,MOST_WHOLE".
std::optional<std::vector<StatedOutcome>> load_stated_outcomes(const std::string& file_name);

/// Simulates a deployment in virtual time: its table, servers with slots, and one ingress per zone.
/// Deterministic for a trace.
class Replay {
  public:
    Replay(Deployment deployment, config::MechanismSet mechanisms);
    ReplayOutcomes run(const std::vector<TraceEvent>& trace);

  private:
    struct SimulatedCall {
        std::uint64_t id = 0;
        const KindSpec* kind = nullptr;
        std::shared_ptr<SimulatedCall> parent;
        routing::RouteDecision route;
        unsigned priority = 0;
        std::string zone;
        TimePoint root_started;
        TimePoint deadline;
        Endpoint server;
        std::size_t next_nested = 0;
        std::uint64_t loan_id = 0;
        bool waiting = false;
    };
    using CallPointer = std::shared_ptr<SimulatedCall>;
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(TimePoint at, std::function<void()> action);
    void arrive(const TraceEvent& event);
    void send(const CallPointer& call);
    void enter_gate(const CallPointer& call);
    void begin_work(const CallPointer& call);
    void continue_call(const CallPointer& call);
    void leave_gate(const CallPointer& call, admission::SampleOutcome outcome);
    void complete(const CallPointer& call, const std::string& overloaded_service);
    void settle_nested(const CallPointer& call, const std::string& overloaded_service);
    Duration work_time(const SimulatedCall& call);
    static std::string ledger_name(const SimulatedCall& call) { return std::to_string(call.id); }

    Deployment deployment_;
    config::MechanismSet mechanisms_;
    routing::RouteTable table_;
    routing::BackendRegistry registry_;
    retry::RetryLedger ledger_;
    std::map<Endpoint, std::unique_ptr<admission::ServerGate>> gates_;
    std::map<std::string, admission::AdaptiveThrottle> throttles_;  // By zone.
    std::map<std::string, double> slow_factors_;
    std::map<std::uint64_t, CallPointer> calls_;
    std::priority_queue<Event> events_;
    std::mt19937_64 random_;
    TimePoint now_;
    std::uint64_t next_id_ = 1;
    std::uint64_t next_order_ = 1;
    ReplayOutcomes outcomes_;
};

}  // namespace anisehold::lab
