#include "sidecar/overload_tracker.hpp"

namespace anisehold::sidecar {
namespace {

constexpr double kPercent = 100;

}  // namespace

void OverloadTracker::on_call_ended(const std::string& service, const std::string& row, bool is_root,
                                    const CallEnd& end) {
    const bool had_no_pressure = !is_under_pressure();
    overload::recordCallEnded(limit_, service, end.refused);
    if (end.refused && had_no_pressure && reports_onset()) {
        onset_signal_.notify();
    }
    const auto now = TimePoint::clock::now();
    if (end.refused) {
        last_refusal_ = {now, service};
        if (is_root) {
            overload::recordReach(limit_, row, service);
        }
    } else if (!end.overloaded_downstream.empty()) {
        last_refusal_ = {now, end.overloaded_downstream};
        if (is_root) {
            overload::recordDownstreamFailure(limit_, now, row, end.overloaded_downstream);
        }
    }
}

void OverloadTracker::on_admitted(const std::string& row) {
    overload::recordRequestStarted(limit_, row);
    if (has_retry_limit()) {
        overload::recordAdmittedRoot(limit_, TimePoint::clock::now(), row);
    }
}

void OverloadTracker::on_declined_share(TimePoint now, const std::string& service,
                                        const DeclineReport& report) {
    if (has_retry_limit()) {
        overload::recordServerDecline(
            limit_, service, report.instance,
            {report.declined_percent / kPercent, static_cast<double>(report.latency_us), now});
    }
}

void OverloadTracker::update_retry_limit(TimePoint now) {
    if (!has_retry_limit()) {
        return;
    }
    limit_.retryCapacity.terms.ratio = settings_.retry_ratio;
    limit_.retryCapacity.terms.window = settings_.retry_window;
    overload::updateRetryShares(limit_, now);
}

std::string OverloadTracker::overloaded_since(TimePoint since) const {
    return last_refusal_.seen >= since ? last_refusal_.service : std::string();
}

void OverloadTracker::update_work_estimates() {
    for (const auto& [service, state] : limit_.services) {
        overload::setOwnRowWork(limit_, service,
                                overload::estimateRowWork(work_, limit_, settings_.service, service));
    }
}

void OverloadTracker::on_peer_report(TimePoint now, const std::string& peer,
                                     const std::vector<overload::ServicePressure>& pressures) {
    const bool had_no_pressure = !is_under_pressure();
    overload::recordPeerReport(limit_, now, peer, pressures);
    if (had_no_pressure && is_under_pressure() && reports_onset()) {
        onset_signal_.notify();
    }
}

}  // namespace anisehold::sidecar
