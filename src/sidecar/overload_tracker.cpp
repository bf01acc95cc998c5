#include "sidecar/overload_tracker.hpp"

#include "observability/events.hpp"

namespace anisehold::sidecar {
namespace {

using observability::Event;
using observability::log_event;

constexpr double kPercent = 100;

}  // namespace

double OverloadTracker::on_offered(TimePoint now, const overload::RootRow& row) {
    overload::recordOffered(limit_, now, row);
    if (has_forecast() && overload::recordDemand(limit_.forecast.demand, now, row.name, row.priority) &&
        !is_under_pressure() && request_early_report(now)) {
        log_event(Event::kDemandRose, {{"row", row.name}});
    }
    update_retry_limit(now);
    return overload::refusedShare(limit_, row);
}

bool OverloadTracker::request_early_report(TimePoint now) {
    if (now - early_reported_ < early_report_gap_) {
        return false;
    }
    early_reported_ = now;
    early_report_due_ = true;
    onset_signal_.notify();
    return true;
}

void OverloadTracker::on_peer_demand(TimePoint now, const std::string& peer,
                                     const overload::OfferedReport& report) {
    if (has_forecast()) {
        overload::recordPeerDemand(limit_.forecast.demand, now, peer, report);
    }
}

overload::OfferedReport OverloadTracker::offered_report(TimePoint now, RecordReceivers receivers) {
    overload::OfferedReport report;
    if (!has_forecast()) {
        return report;
    }
    auto& demand = limit_.forecast.demand;
    report.offered = overload::ownOffered(demand, now);
    if (receivers == RecordReceivers::kAll) {
        report.works = overload::dueWorks(demand, now, settings_.name);
    } else if (receivers == RecordReceivers::kNewPeer) {
        report.works = overload::ownWorks(demand, settings_.name);
    }
    return report;
}

bool OverloadTracker::has_work_estimates() const {
    return has_forecast() && !overload::ownWorks(limit_.forecast.demand, settings_.name).empty();
}

std::vector<overload::ForecastChange> OverloadTracker::update_forecast(
    TimePoint now, const overload::Capacities& capacities) {
    limit_.forecast.isOn = true;
    const bool was_limited = overload::isLimitedByForecast(limit_);
    auto changes = overload::updateForecast(limit_, now, capacities);
    if (!was_limited && overload::isLimitedByForecast(limit_)) {
        request_early_report(now);
    }
    return changes;
}

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
    if (has_forecast()) {
        const auto update = [this](const std::string& service) {
            overload::setOwnWorks(limit_.forecast.demand, settings_.name, service,
                                  overload::estimateRowWork(work_, limit_, settings_.service, service));
        };
        update(settings_.service);
        for (const auto& [service, rows] : limit_.forecast.demand.works) {
            if (service != settings_.service) {
                update(service);
            }
        }
    }
    for (const auto& [service, state] : limit_.services) {
        overload::setOwnRowWork(limit_, service,
                                overload::estimateRowWork(work_, limit_, settings_.service, service));
    }
}

void OverloadTracker::on_peer_report(TimePoint now, const std::string& peer,
                                     const std::vector<overload::ServicePressure>& pressures) {
    const bool had_no_pressure = !is_under_pressure();
    overload::recordPeerReport(limit_, now, peer, pressures);
    if (has_forecast()) {
        for (const auto& each : pressures) {
            overload::recordPeerWorks(limit_.forecast.demand, now, peer, each.service, each.works);
        }
    }
    if (had_no_pressure && is_under_pressure() && reports_onset()) {
        onset_signal_.notify();
    }
}

}  // namespace anisehold::sidecar
