#include "sidecar/server_chooser.hpp"

#include "suspects/suspect_server.hpp"

namespace anisehold::sidecar {
namespace {

using config::Mechanism;

selection::SelectionRules selection_rules(const SidecarContext& context) {
    selection::SelectionRules rules;
    rules.prefersUsual = context.has(Mechanism::kUsualServers);
    rules.prefersOwnZone = context.has(Mechanism::kZonePreference);
    rules.sparesCold = context.has(Mechanism::kColdServers);
    rules.sparesFailing = context.has(Mechanism::kFailingServers);
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
                                                     const std::vector<std::string>& tried,
                                                     unsigned running) {
    const auto view = candidates(service, now);
    if (crashes_.crashes_of(now, identity) == 0) {
        return selection::chooseServer(selection_, now, view, tried,
                                       [this] { return context_.random_unit(); });
    }
    // A suspect isn't at two servers at once.
    return running > 0 ? nullptr : suspects::chooseForSuspect(view, identity.digest, tried);
}

void ServerChooser::on_ended(TimePoint now, const std::string& instance, const selection::AttemptEnd& end) {
    selection::noteEnded(selection_, now, instance, selection::speaksAgainstServer(end));
}

membership::ServiceView ServerChooser::candidates(const std::string& service, TimePoint now) {
    auto view = directory_.servers_of(now, service);
    own_servers_.clear();
    if (!gate_.servers().serves(service)) {
        return view;
    }
    for (auto& own : gate_.servers().records(now)) {
        if (own.service == service) {
            own_servers_.push_back({std::move(own), context_.settings.name, context_.settings.zone,
                                    context_.settings.hops, context_.boot_id, now});
        }
    }
    for (const auto& own : own_servers_) {
        view.near.push_back(&own);
        view.own = &own;
    }
    return view;
}

}  // namespace anisehold::sidecar
