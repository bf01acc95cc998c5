/// @file
/// What this daemon knows of services without capacity, and of the work that requests bring to them. Owns the
/// state of the limit of root requests; the rules are in overload/.
#pragma once

#include <string>
#include <vector>

#include "config/sidecar_settings.hpp"
#include "net/fiber_signal.hpp"
#include "overload/root_limit.hpp"
#include "overload/work_estimate.hpp"

namespace anisehold::sidecar {

/// How a request that this daemon sent for a caller ended, as far as overload is concerned.
struct CallEnd {
    bool refused = false;          ///< All servers that were asked were without capacity.
    std::string overloaded_below;  ///< Service that refused calls of the server that failed; empty for none.
};

/// Fed by `CallIngress` and `CallAttempts` (requests of this machine), `LocalGate` (runs at the server
/// beside) and `PeerExchange` (reports of peers, ends of periods).
class OverloadTracker {
  public:
    /// `settings` must outlast this.
    explicit OverloadTracker(const config::SidecarSettings& settings) : settings_(settings) {
        limit_.ownName = settings.name;
    }

    /// A client's request came. The share of such requests that is refused now, from 0 to 1.
    double on_offered(TimePoint now, const overload::RootRow& row) {
        overload::recordOffered(limit_, now, row);
        return overload::refusedShare(limit_, row);
    }
    /// A client's request was admitted; it ended, however, after `taken`.
    void on_admitted(const std::string& row) { overload::recordRequestStarted(limit_, row); }
    void on_admitted_ended(const std::string& row, Duration taken) {
        overload::recordRequestEnded(limit_, row, taken);
    }
    /// A request ended. `is_root`: a client had sent it.
    void on_call_ended(const std::string& service, const std::string& row, bool is_root, const CallEnd& end);
    /// The service that refused a call of this machine at `since` or later; empty if none did.
    std::string overloaded_since(TimePoint since) const;

    /// The server beside made a call, began a run, or ended one.
    void on_call_made(TimePoint now, const std::string& row) { overload::recordCallMade(work_, now, row); }
    void on_run_began(TimePoint now, const std::string& row) { overload::recordRunStarted(work_, now, row); }
    void on_run_ended(TimePoint now, const std::string& row) { overload::recordRunEnded(work_, now, row); }

    bool is_under_pressure() const { return overload::isUnderPressure(limit_); }
    /// What peers are sent. `measure_works` brings the works in it up to date.
    std::vector<overload::ServicePressure> own_report() const { return overload::ownReport(limit_); }
    void measure_works();
    void on_peer_report(TimePoint now, const std::string& peer,
                        const std::vector<overload::ServicePressure>& pressures);
    /// Time between two reports to near peers from now on.
    void set_period(Duration period) { limit_.period = period; }
    std::vector<overload::AdmittedShareChange> end_period(TimePoint now,
                                                          const overload::Utilizations& utilizations) {
        return overload::endPeriod(limit_, now, utilizations);
    }
    /// Waits until calls are refused after a calm time, here or at a peer, so that a report shouldn't wait;
    /// false if `latest` came first. Blocks the fiber; only one may wait.
    bool wait_for_onset(TimePoint latest) { return pressure_rose_.wait_until(latest); }

  private:
    /// The last sign that a service refuses calls of this machine for overload.
    struct OverloadSign {
        TimePoint seen;
        std::string service;
    };

    bool reports_onset() const { return settings_.mechanisms.has(config::Mechanism::kOverloadOnsetReports); }

    const config::SidecarSettings& settings_;
    overload::RootLimitState limit_;
    overload::WorkEstimate work_;  ///< Of the requests at this machine's server.
    OverloadSign last_sign_;
    net::FiberSignal pressure_rose_;
};

}  // namespace anisehold::sidecar
