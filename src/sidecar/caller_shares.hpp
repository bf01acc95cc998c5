/// @file
/// Divides the admitted share of a row among zones and tenants for the requests of this daemon's clients.
/// Owns the demand of callers as known to this daemon; the rules are in fairness/.
#pragma once

#include <map>
#include <set>
#include <string>

#include "fairness/caller_demand.hpp"
#include "fairness/group_shares.hpp"

namespace anisehold::sidecar {

/// Shares of a request's group and of all requests of this daemon in the row.
struct CallerShare {
    double group = 1;
    double own = 1;
    bool is_of_tenant = false;  ///< The group is a tenant in excess, not the callers of a zone.
};

/// Receives the requests of clients from `CallIngress`, and reports of peers from `PeerExchange`. Used only
/// with the mechanism `kCallerFairness`.
class CallerShares {
  public:
    CallerShares(const std::string& zone, TimePoint now) {
        demand_.ownZone = zone;
        demand_.began = now;
    }

    /// Records a client's request, and returns the admitted shares. `row_share`: admitted share of the row.
    CallerShare on_offered(TimePoint now, const std::string& row, const std::string& tenant,
                           double row_share);
    /// The report for peers; empty if no row is limited, or if a report was made within the last second.
    fairness::DemandReport take_report(TimePoint now);
    void on_peer_report(TimePoint now, const std::string& peer, const std::string& zone,
                        const fairness::DemandReport& report);

  private:
    /// Groups of a limited row.
    struct LimitedRow {
        fairness::RowGroups groups;
        TimePoint made;
    };

    Duration groups_lifetime() const;
    /// Logs which zones and tenants of the row begin or cease to be refused more than others.
    void log_changes(TimePoint now, const std::string& row, const fairness::RowGroups& before,
                     const fairness::RowGroups& after);
    void log_group(TimePoint now, const std::string& row, const std::string& kind, const std::string& name,
                   const fairness::Group& group);

    fairness::DemandState demand_;
    std::map<std::string, LimitedRow> limited_;  ///< Rows of which a share is being refused.
    TimePoint next_report_;
    TimePoint log_second_;  ///< Start of the second that `logged_` counts.
    unsigned logged_ = 0;
};

}  // namespace anisehold::sidecar
