#include "sidecar/caller_shares.hpp"

#include "observability/events.hpp"

namespace anisehold::sidecar {
namespace {

using observability::Event;
using observability::log_event;

/// Lifetime of the computed groups of a row, and its increase for each peer that reports: the computation
/// takes up to 7 us per peer.
constexpr milliseconds kGroupsLifetime{200};
constexpr milliseconds kGroupsLifetimePerPeer{2};
/// Minimum time between two reports: records are sent every 0.4 s during a shortage, and the report may be
/// larger than the rest of the record.
constexpr seconds kReportInterval{1};
constexpr unsigned kMaxLinesPerSecond = 10;

}  // namespace

CallerShare CallerShares::on_offered(TimePoint now, const std::string& row, const std::string& tenant,
                                     double row_share) {
    const auto found = limited_.find(row);
    const bool is_known = found != limited_.end();
    const bool is_excess =
        is_known && fairness::groupOf(found->second.groups, demand_.ownZone, tenant).excess > 1;
    fairness::recordOffered(demand_, now, row, tenant, is_excess);
    if (row_share >= 1) {
        if (is_known) {
            log_changes(now, row, found->second.groups, {});
            limited_.erase(found);
        }
        return {};
    }
    fairness::recordLimited(demand_, now, row);
    auto& limited = limited_[row];
    if (!is_known || now - limited.made >= groups_lifetime()) {
        auto groups = fairness::groupsOf(demand_, now, row);
        log_changes(now, row, limited.groups, groups);
        limited = {std::move(groups), now};
    }
    const double level = fairness::levelFor(limited.groups, row_share);
    const auto group = fairness::groupOf(limited.groups, demand_.ownZone, tenant);
    return {fairness::shareAt(level, group), fairness::ownShare(limited.groups, demand_.ownZone, level),
            limited.groups.tenants.contains(tenant)};
}

Duration CallerShares::groups_lifetime() const {
    return kGroupsLifetime + demand_.peers.size() * kGroupsLifetimePerPeer;
}

fairness::DemandReport CallerShares::take_report(TimePoint now) {
    fairness::expire(demand_, now);
    if (now < next_report_) {
        return {};
    }
    auto report = fairness::ownReport(demand_, now);
    if (!report.empty()) {
        next_report_ = now + kReportInterval;
    }
    return report;
}

void CallerShares::on_peer_report(TimePoint now, const std::string& peer, const std::string& zone,
                                  const fairness::DemandReport& report) {
    fairness::recordPeerReport(demand_, now, peer, zone, report);
}

void CallerShares::log_changes(TimePoint now, const std::string& row, const fairness::RowGroups& before,
                               const fairness::RowGroups& after) {
    const auto compare = [&](const std::string& kind, const std::map<std::string, fairness::Group>& earlier,
                             const std::map<std::string, fairness::Group>& later) {
        for (const auto& [name, group] : earlier) {
            if (group.excess > 1 && (!later.contains(name) || later.at(name).excess <= 1)) {
                log_group(now, row, kind, name, fairness::Group{});
            }
        }
        for (const auto& [name, group] : later) {
            if (group.excess > 1 && (!earlier.contains(name) || earlier.at(name).excess <= 1)) {
                log_group(now, row, kind, name, group);
            }
        }
    };
    compare("zone", before.zones, after.zones);
    compare("tenant", before.tenants, after.tenants);
}

void CallerShares::log_group(TimePoint now, const std::string& row, const std::string& kind,
                             const std::string& name, const fairness::Group& group) {
    if (now - log_second_ >= seconds(1)) {
        log_second_ = now;
        logged_ = 0;
    }
    if (++logged_ > kMaxLinesPerSecond) {
        return;
    }
    log_event(Event::kCallerLimited, {{"row", row},
                                      {kind == "zone" ? "zone" : "tenant", name},
                                      {"limited", group.excess > 1 ? "yes" : "no"},
                                      {"offered", std::to_string(group.offered)},
                                      {"excess", std::to_string(group.excess)}});
}

}  // namespace anisehold::sidecar
