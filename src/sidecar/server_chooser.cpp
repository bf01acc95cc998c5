#include "sidecar/server_chooser.hpp"

#include <algorithm>

#include "observability/events.hpp"
#include "suspects/suspect_server.hpp"

namespace anisehold::sidecar {
namespace {

using config::Mechanism;
using observability::Event;
using observability::log_event;

/// Minimum time between two log batches on avoided servers, and maximum number of lines per batch: during an
/// overload all servers may be avoided.
constexpr seconds kAvoidedLogInterval{1};
constexpr std::size_t kMaxAvoidedLogLines = 3;

selection::SelectionRules selection_rules(const SidecarContext& context) {
    selection::SelectionRules rules;
    rules.usesPreferredServers = context.has(Mechanism::kPreferredServers);
    rules.prefersOwnZone = context.has(Mechanism::kZonePreference);
    rules.avoidsCold = context.has(Mechanism::kColdServerWeighting);
    rules.avoidsFailing = context.has(Mechanism::kFailingServerWeighting);
    rules.usesPresentSpeed = context.has(Mechanism::kServerSpeed);
    return rules;
}

}  // namespace

ServerChooser::ServerChooser(SidecarContext& context, membership::PeerDirectory& directory,
                             const LocalGate& gate, const CrashExchange& crashes)
    : context_(context),
      directory_(directory),
      gate_(gate),
      crashes_(crashes),
      selection_{context.settings.zone, {}, {}, selection_rules(context)} {}

const membership::KnownServer* ServerChooser::choose(TimePoint now, const std::string& service,
                                                     const RequestIdentity& identity,
                                                     const std::vector<std::string>& tried, unsigned running,
                                                     bool may_retry) {
    const auto view = candidates(service, now);
    if (crashes_.crashes_of(now, identity) > 0) {
        // A suspect request runs at one server at a time.
        return running > 0 ? nullptr : suspects::chooseForSuspect(view, identity.digest, tried);
    }
    selection_.commonDeclined = selection::lowestDeclinedShare(view);
    const bool may_try = may_retry && tried.empty();
    if (const auto* trial = may_try ? start_trial(now, view) : nullptr) {
        return trial;
    }
    const auto* chosen =
        selection::chooseServer(selection_, now, view, tried, [this] { return context_.random_unit(); });
    if (chosen != nullptr && tried.empty() && now >= next_avoided_log_) {
        log_avoided_servers(now, view, *chosen);
    }
    return chosen;
}

const membership::KnownServer* ServerChooser::choose_again(TimePoint now, const std::string& service,
                                                           const RequestIdentity& identity,
                                                           const std::set<std::string>& declined) {
    // A suspect request is not sent to a server twice.
    if (declined.empty() || crashes_.crashes_of(now, identity) > 0) {
        return nullptr;
    }
    const auto view = candidates(service, now);
    selection_.commonDeclined = selection::lowestDeclinedShare(view);
    return selection::chooseAmong(selection_, now, view, declined);
}

void ServerChooser::on_ended(TimePoint now, const std::string& instance,
                             const selection::AttemptResult& end) {
    const bool failed = selection::countsAsFailure(end);
    selection::recordEnded(selection_, now, instance, failed);
    // A request that was canceled early doesn't show whether the server has recovered.
    if (failed || !end.wasAbandoned) {
        selection::recordTrialResult(trials_, now, instance, failed);
    }
}

const membership::KnownServer* ServerChooser::start_trial(TimePoint now,
                                                          const membership::ServiceView& view) {
    if (!context_.has(Mechanism::kFailingServerWeighting)) {
        return nullptr;
    }
    const auto* server = selection::startDueTrial(trials_, now, view);
    if (server != nullptr) {
        log_event(Event::kServerTried,
                  {{"server", server->server.instance}, {"service", server->server.service}});
    }
    return server;
}

void ServerChooser::log_avoided_servers(TimePoint now, const membership::ServiceView& view,
                                        const membership::KnownServer& chosen) {
    next_avoided_log_ = now + kAvoidedLogInterval;
    auto avoided_servers = selection::avoidedServers(selection_, now, view, chosen);
    avoided_servers.resize(std::min(avoided_servers.size(), kMaxAvoidedLogLines));
    for (const auto& avoided : avoided_servers) {
        const auto& server = avoided.server->server;
        log_event(Event::kServerPassedOver, {{"server", server.instance},
                                             {"service", server.service},
                                             {"failures", std::to_string(avoided.failures)},
                                             {"latency_us", std::to_string(server.latency_us)},
                                             {"cost", std::to_string(avoided.cost)},
                                             {"chosen", chosen.server.instance},
                                             {"chosen_latency_us", std::to_string(chosen.server.latency_us)},
                                             {"chosen_cost", std::to_string(avoided.chosenCost)}});
    }
}

membership::ServiceView ServerChooser::candidates(const std::string& service, TimePoint now) {
    auto view = directory_.servers_of(now, service);
    add_local_servers(view, service, now);
    if (context_.notices.has_leaving()) {
        remove_leaving(view);
    }
    return view;
}

void ServerChooser::remove_leaving(membership::ServiceView& view) {
    const auto leaves = [this](const auto* known) { return context_.notices.is_leaving(known->server); };
    const auto drop = [&](std::vector<const membership::KnownServer*>& servers, std::size_t& preferred) {
        const auto preferred_end = servers.begin() + static_cast<std::ptrdiff_t>(preferred);
        preferred -= static_cast<std::size_t>(std::count_if(servers.begin(), preferred_end, leaves));
        std::erase_if(servers, leaves);
    };
    drop(view.local, view.preferred_local);
    drop(view.remote, view.preferred_remote);
    if (view.own != nullptr && leaves(view.own)) {
        view.own = nullptr;
    }
}

void ServerChooser::add_local_servers(membership::ServiceView& view, const std::string& service,
                                      TimePoint now) {
    local_servers_.clear();
    if (!gate_.servers().serves(service)) {
        return;
    }
    for (auto& own : gate_.servers().records(now)) {
        if (own.service == service) {
            local_servers_.push_back({std::move(own), context_.settings.name, context_.settings.zone,
                                      context_.settings.hops, context_.boot_id, now});
        }
    }
    for (const auto& own : local_servers_) {
        view.local.push_back(&own);
        view.own = &own;
    }
}

}  // namespace anisehold::sidecar
