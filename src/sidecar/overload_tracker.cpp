#include "sidecar/overload_tracker.hpp"

namespace anisehold::sidecar {

void OverloadTracker::on_call_ended(const std::string& service, const std::string& row, bool is_root,
                                    const CallEnd& end) {
    const bool was_calm = !is_under_pressure();
    overload::recordCallEnded(limit_, service, end.refused);
    if (end.refused && was_calm && reports_onset()) {
        pressure_rose_.notify();
    }
    const auto now = TimePoint::clock::now();
    if (end.refused) {
        last_sign_ = {now, service};
        if (is_root) {
            overload::recordReach(limit_, row, service);
        }
    } else if (!end.overloaded_below.empty()) {
        last_sign_ = {now, end.overloaded_below};
        if (is_root) {
            overload::recordDownstreamFailure(limit_, now, row, end.overloaded_below);
        }
    }
}

std::string OverloadTracker::overloaded_since(TimePoint since) const {
    return last_sign_.seen >= since ? last_sign_.service : std::string();
}

void OverloadTracker::measure_works() {
    for (const auto& [service, state] : limit_.services) {
        overload::setOwnRowWork(limit_, service,
                                overload::estimateRowWork(work_, limit_, settings_.service, service));
    }
}

void OverloadTracker::on_peer_report(TimePoint now, const std::string& peer,
                                     const std::vector<overload::ServicePressure>& pressures) {
    const bool was_calm = !is_under_pressure();
    overload::recordPeerReport(limit_, now, peer, pressures);
    if (was_calm && is_under_pressure() && reports_onset()) {
        pressure_rose_.notify();
    }
}

}  // namespace anisehold::sidecar
