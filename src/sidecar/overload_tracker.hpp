/// @file
/// Tracks which services are overloaded, and how much work requests bring to them. Owns the state of the root
/// request limit; the rules are in overload/.
#pragma once

#include <string>
#include <vector>

#include "config/sidecar_settings.hpp"
#include "net/fiber_signal.hpp"
#include "overload/root_limit.hpp"
#include "overload/work_estimate.hpp"

namespace anisehold::sidecar {

/// Outcome of a request that this daemon sent for a caller, as far as overload is concerned.
struct CallEnd {
    bool refused = false;  ///< All servers that were tried were overloaded.
    /// Service that refused calls made by the server that failed; empty if there is none.
    std::string overloaded_downstream;
};

/// Receives events from `CallIngress` and `CallAttempts` (requests of this machine), `LocalGate` (runs at the
/// local server) and `PeerExchange` (reports of peers, ends of periods).
class OverloadTracker {
  public:
    /// `settings` must outlive the tracker.
    explicit OverloadTracker(const config::SidecarSettings& settings) : settings_(settings) {
        limit_.ownName = settings.name;
    }

    /// Records a client's request. Returns the share (0 to 1) of such requests that is currently refused.
    double on_offered(TimePoint now, const overload::RootRow& row) {
        overload::recordOffered(limit_, now, row);
        return overload::refusedShare(limit_, row);
    }
    /// The share of the row's requests that is admitted over the whole fleet.
    double admitted_share(const overload::RootRow& row) const {
        return overload::admittedShareOf(limit_, row);
    }
    /// Corrects a share of the row's requests of this daemon by the number of those in flight.
    double corrected_share(const std::string& row, double share) const {
        const auto volume = limit_.rows.find(row);
        return volume == limit_.rows.end() ? share : overload::correctedShare(volume->second, share);
    }
    /// Records the start of an admitted client request, and its end (with any outcome) after `elapsed`.
    void on_admitted(const std::string& row) { overload::recordRequestStarted(limit_, row); }
    void on_admitted_ended(const std::string& row, Duration elapsed) {
        overload::recordRequestEnded(limit_, row, elapsed);
    }
    /// Records the end of a request. `is_root`: whether a client had sent it.
    void on_call_ended(const std::string& service, const std::string& row, bool is_root, const CallEnd& end);
    /// The service that refused a call of this machine at `since` or later; empty if there was none.
    std::string overloaded_since(TimePoint since) const;

    /// Records a call made by the local server, and the start and end of a run there.
    void on_call_made(TimePoint now, const std::string& row) { overload::recordCallMade(work_, now, row); }
    void on_run_began(TimePoint now, const std::string& row) { overload::recordRunStarted(work_, now, row); }
    void on_run_ended(TimePoint now, const std::string& row) { overload::recordRunEnded(work_, now, row); }

    bool is_under_pressure() const { return overload::isUnderPressure(limit_); }
    /// The report for peers. `update_work_estimates` updates the work estimates in it.
    std::vector<overload::ServicePressure> own_report() const { return overload::ownReport(limit_); }
    void update_work_estimates();
    void on_peer_report(TimePoint now, const std::string& peer,
                        const std::vector<overload::ServicePressure>& pressures);
    /// Sets the interval between two reports to peers in the local zone.
    void set_period(Duration period) { limit_.period = period; }
    std::vector<overload::AdmittedShareChange> end_period(TimePoint now,
                                                          const overload::Utilizations& utilizations) {
        return overload::endPeriod(limit_, now, utilizations);
    }
    /// Waits until calls begin to be refused after a period without refusals, here or at a peer, so that a
    /// report should be sent at once; returns false if `latest` comes first. Blocks the fiber; only one fiber
    /// may wait.
    bool wait_for_onset(TimePoint latest) { return onset_signal_.wait_until(latest); }

  private:
    /// The latest refusal of a call of this machine for overload.
    struct OverloadRefusal {
        TimePoint seen;
        std::string service;
    };

    bool reports_onset() const { return settings_.mechanisms.has(config::Mechanism::kOverloadOnsetReports); }

    const config::SidecarSettings& settings_;
    overload::RootLimitState limit_;
    overload::WorkEstimate work_;  ///< Work of the requests at the local server.
    OverloadRefusal last_refusal_;
    net::FiberSignal onset_signal_;
};

}  // namespace anisehold::sidecar
