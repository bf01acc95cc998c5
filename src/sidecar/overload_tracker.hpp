/// @file
/// Tracks which services are overloaded, and how much work requests bring to them. Owns the state of the root
/// request limit; the rules are in overload/.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "config/sidecar_settings.hpp"
#include "net/fiber_signal.hpp"
#include "overload/capacity_forecast.hpp"
#include "overload/retry_capacity.hpp"
#include "overload/root_limit.hpp"
#include "overload/work_estimate.hpp"

namespace anisehold::sidecar {

/// Outcome of a request that this daemon sent for a caller, as far as overload is concerned.
struct CallEnd {
    bool refused = false;  ///< All servers that were tried were overloaded.
    /// Service that refused calls made by the server that failed; empty if there is none.
    std::string overloaded_downstream;
};

/// What a gate reports of a server that may decline arrivals.
struct DeclineReport {
    std::string instance;
    unsigned declined_percent = 0;
    unsigned latency_us = 0;
};
/// Which peers a record is sent to.
enum class RecordReceivers { kAll, kLocalZone, kNewPeer };

/// Receives events from `CallIngress` and `CallAttempts` (requests of this machine), `LocalGate` (runs at the
/// local server) and `PeerExchange` (reports of peers, ends of periods).
class OverloadTracker {
  public:
    /// `settings` must outlive the tracker.
    explicit OverloadTracker(const config::SidecarSettings& settings) : settings_(settings) {
        limit_.ownName = settings.name;
    }

    /// Records a client's request. Returns the share (0 to 1) of such requests that is currently refused.
    double on_offered(TimePoint now, const overload::RootRow& row);
    /// The share of the row's requests that is admitted over the whole fleet.
    double admitted_share(const overload::RootRow& row) const {
        return overload::admittedShareOf(limit_, row);
    }
    /// Corrects a share of the row's requests of this daemon by the number of those in flight.
    double corrected_share(const std::string& row, double share) const {
        return overload::stabilizedShare(limit_, row, share);
    }
    /// Records the start of an admitted client request, and its end (with any outcome) after `elapsed`.
    void on_admitted(const std::string& row);
    void on_admitted_ended(const std::string& row, Duration elapsed) {
        overload::recordRequestEnded(limit_, row, elapsed);
    }
    /// Mean duration of the row's admitted requests; 0 until one has ended.
    Duration mean_time(const std::string& row) const {
        const auto found = limit_.rows.find(row);
        return found == limit_.rows.end() ? Duration::zero() : found->second.meanTime;
    }
    /// Records the end of a request. `is_root`: whether a client had sent it.
    void on_call_ended(const std::string& service, const std::string& row, bool is_root, const CallEnd& end);
    /// The service that refused a call of this machine at `since` or later; empty if there was none.
    std::string overloaded_since(TimePoint since) const;

    /// Records a call made by the local server, and the start and end of a run there. `parent` is the row of
    /// the run that made the call; empty if unknown.
    void on_call_made(TimePoint now, const std::string& row, const std::string& parent) {
        overload::recordCallMade(work_, now, row, parent);
    }
    void on_run_began(TimePoint now, const std::string& row) { overload::recordRunStarted(work_, now, row); }
    void on_run_ended(TimePoint now, const std::string& row) { overload::recordRunEnded(work_, now, row); }

    /// Sets the present duration of work at the local server as a multiple of the usual one.
    void on_server_slowness(double slowness) { work_.slowness = slowness; }
    /// Records a run that the server declined whatever its load, instead of its end.
    void on_run_declined(TimePoint now, const std::string& row) {
        overload::recordRunDeclined(work_, now, row);
    }
    /// Records the share of its arrivals that a server declines, as reported by its gate in a result or
    /// record.
    void on_declined_share(TimePoint now, const std::string& service, const DeclineReport& report);
    /// Records that a call of this machine ended without having run because servers declined it.
    void on_call_declined(TimePoint now) { last_declined_call_ = now; }
    /// Whether that happened at `since` or later.
    bool has_declined_calls(TimePoint since) const { return last_declined_call_ >= since; }
    /// The changes of the limit by retries since the last call.
    std::vector<overload::RetryLimitChange> take_retry_limit_changes(TimePoint now) {
        return overload::takeRetryLimitChanges(limit_, now);
    }

    bool is_under_pressure() const { return overload::isUnderPressure(limit_); }
    /// The report for peers. `update_work_estimates` updates the work estimates in it.
    std::vector<overload::ServicePressure> own_report() const { return overload::ownReport(limit_); }
    void update_work_estimates();
    void on_peer_report(TimePoint now, const std::string& peer,
                        const std::vector<overload::ServicePressure>& pressures);
    /// Records the volumes and work estimates in a peer's record.
    void on_peer_demand(TimePoint now, const std::string& peer, const overload::OfferedReport& report);
    /// Excludes the volumes of a peer that can't be reached.
    void on_peer_unreachable(const std::string& peer) {
        overload::dropPeerVolumes(limit_.forecast.demand, peer);
    }
    /// The volumes for a record; empty without the capacity forecast. Work estimates are included in records
    /// to all peers when they have changed, and in records to a new peer.
    overload::OfferedReport offered_report(TimePoint now, RecordReceivers receivers);
    /// Whether this daemon has work estimates that a new peer needs.
    bool has_work_estimates() const;
    /// Updates the forecast; called only where the mechanism is on.
    std::vector<overload::ForecastChange> update_forecast(TimePoint now,
                                                          const overload::Capacities& capacities);
    const std::map<std::string, overload::ServiceForecast>& forecasts() const {
        return limit_.forecast.services;
    }
    /// Sets the minimum time between two early reports of a rise in demand.
    void set_early_report_gap(Duration gap) { early_report_gap_ = gap; }
    /// Whether an early report is due, for a rise in demand or for a new limit; resets it.
    bool take_early_report() { return std::exchange(early_report_due_, false); }
    /// Sets the interval between two reports to peers in the local zone.
    void set_period(Duration period) { limit_.period = period; }
    std::vector<overload::AdmittedShareChange> end_period(TimePoint now,
                                                          const overload::Utilizations& utilizations) {
        return overload::endPeriod(limit_, now, utilizations);
    }
    /// Waits until calls begin to be refused after a period without refusals, here or at a peer, or an early
    /// report is due, so that a report should be sent at once; returns false if `latest` comes first. Blocks
    /// the fiber; only one fiber may wait.
    bool wait_for_onset(TimePoint latest) { return onset_signal_.wait_until(latest); }

  private:
    /// The latest refusal of a call of this machine for overload.
    struct OverloadRefusal {
        TimePoint seen;
        std::string service;
    };

    bool has_retry_limit() const { return settings_.mechanisms.has(config::Mechanism::kGateRetryBudget); }
    /// Updates the shares of client requests that the retries of declining services carry.
    void update_retry_limit(TimePoint now);
    bool reports_onset() const { return settings_.mechanisms.has(config::Mechanism::kOverloadOnsetReports); }

    bool has_forecast() const { return settings_.mechanisms.has(config::Mechanism::kCapacityForecast); }
    /// Makes an early report due; returns false if the last one was too recent.
    bool request_early_report(TimePoint now);

    const config::SidecarSettings& settings_;
    overload::RootLimitState limit_;
    overload::WorkEstimate work_;  ///< Work of the requests at the local server.
    OverloadRefusal last_refusal_;
    Duration early_report_gap_{};
    TimePoint early_reported_;
    bool early_report_due_ = false;
    TimePoint last_declined_call_;
    net::FiberSignal onset_signal_;
};

}  // namespace anisehold::sidecar
