#include "routing/backend_registry.hpp"

#include <algorithm>

namespace anisehold::routing {
namespace {

/// Consecutive failures after which a server is ejected.
constexpr unsigned kFailuresToEject = 5;
/// Duration of the first ejection; doubled with each further one up to the maximum.
constexpr seconds kFirstEjection{1};
constexpr seconds kMaxEjection{30};
constexpr unsigned kMaxEjectionDoublings = 5;
/// Maximum age of a load report.
constexpr milliseconds kMaxReportAge{200};
/// Assumed limit of a server whose gate has not reported one.
constexpr double kAssumedLimit = 8.0;
/// Ramp-up time of a server that joins a running fleet, until it gets its full share.
constexpr seconds kSlowStart{5};
/// Load added to a server that has just joined, and the minimum warmth by which its load is divided.
constexpr double kColdLoadPenalty = 0.5;
constexpr double kMinWarmth = 0.1;

}  // namespace

void BackendRegistry::update_list(TimePoint now, const std::vector<ListedServer>& servers) {
    std::map<Endpoint, Server> next;
    for (const auto& listed : servers) {
        const auto known = servers_.find(listed.endpoint);
        Server server;
        if (known != servers_.end()) {
            server = known->second;
        } else {
            // The servers of the first list were running before this daemon started, so they are not cold.
            server.first_seen = list_seen_ ? now : now - kSlowStart;
        }
        server.listed = listed;
        next[listed.endpoint] = std::move(server);
    }
    servers_ = std::move(next);
    list_seen_ = true;
}

void BackendRegistry::mark_leaving(TimePoint now, const Endpoint& server) {
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
        found->second.leaving_until = now + kLeavingDuration;
    }
}

void BackendRegistry::on_outcome(TimePoint now, const Endpoint& server, ServerOutcome outcome) {
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    Server& state = found->second;
    if (outcome == ServerOutcome::kSuccess) {
        state.failures_in_row = 0;
        state.ejections = 0;
        return;
    }
    ++state.failures_in_row;
    if (state.failures_in_row >= kFailuresToEject && state.ejected_until <= now) {
        const auto doublings = std::min(state.ejections, kMaxEjectionDoublings);
        const auto length = std::min<Duration>(kFirstEjection * (1U << doublings), kMaxEjection);
        state.ejected_until = now + length;
        ++state.ejections;
        // A single failure after the ejection triggers the next one.
        state.failures_in_row = kFailuresToEject - 1;
    }
}

void BackendRegistry::on_dispatch(const Endpoint& server) {
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
        ++found->second.outstanding;
    }
}

void BackendRegistry::on_finish(const Endpoint& server) {
    const auto found = servers_.find(server);
    if (found != servers_.end() && found->second.outstanding > 0) {
        --found->second.outstanding;
    }
}

void BackendRegistry::on_report(TimePoint now, const Endpoint& server, const admission::GateLoad& load) {
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
        found->second.reported = load;
        found->second.reported_at = now;
    }
}

std::vector<Candidate> BackendRegistry::candidates(TimePoint now, const std::string& service,
                                                   const std::vector<Endpoint>& excluded) const {
    std::vector<const Server*> serving;
    std::vector<const Server*> leaving;
    for (const auto& [endpoint, server] : servers_) {
        const bool is_excluded = std::find(excluded.begin(), excluded.end(), endpoint) != excluded.end();
        if (server.listed.service != service || server.listed.leaving || is_excluded) {
            continue;
        }
        (server.leaving_until > now ? leaving : serving).push_back(&server);
    }
    std::vector<const Server*> usable;
    std::copy_if(serving.begin(), serving.end(), std::back_inserter(usable),
                 [&](const Server* server) { return server->ejected_until <= now; });
    // At most half of the servers stay ejected: if more fail, the failures say little about a single server.
    if (usable.size() * 2 < serving.size()) {
        usable = serving;
    }
    // If every server reports that it is leaving, these reports are ignored, since the list still contains
    // the servers.
    if (serving.empty()) {
        usable = leaving;
    }
    std::vector<Candidate> result;
    result.reserve(usable.size());
    for (const auto* server : usable) {
        result.push_back({server->listed.endpoint, server->listed.zone, load_of(now, *server)});
    }
    return result;
}

double BackendRegistry::load_of(TimePoint now, const Server& server) const {
    const bool fresh = server.reported.limit > 0 && now - server.reported_at <= kMaxReportAge;
    const double limit = server.reported.limit > 0 ? server.reported.limit : kAssumedLimit;
    const unsigned reported = fresh ? server.reported.in_flight + server.reported.queued : 0;
    double load = std::max<double>(server.outstanding, reported) / limit;
    const auto age = now - server.first_seen;
    if (age < kSlowStart) {
        const double warmth = std::chrono::duration<double>(age) / std::chrono::duration<double>(kSlowStart);
        load = load / std::max(kMinWarmth, warmth) + kColdLoadPenalty * (1.0 - warmth);
    }
    return load;
}

const ListedServer* BackendRegistry::find(const Endpoint& server) const {
    const auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second.listed;
}

std::vector<ListedServer> BackendRegistry::servers() const {
    std::vector<ListedServer> all;
    for (const auto& [endpoint, server] : servers_) {
        all.push_back(server.listed);
    }
    return all;
}

bool BackendRegistry::is_leaving(TimePoint now, const Endpoint& server) const {
    const auto found = servers_.find(server);
    return found == servers_.end() || found->second.listed.leaving || found->second.leaving_until > now;
}

bool BackendRegistry::is_ejected(TimePoint now, const Endpoint& server) const {
    const auto found = servers_.find(server);
    return found != servers_.end() && found->second.ejected_until > now;
}

}  // namespace anisehold::routing
