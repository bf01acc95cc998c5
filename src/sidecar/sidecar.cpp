#include "sidecar/sidecar.hpp"

#include "net/http_server.hpp"
#include "observability/events.hpp"
#include "sidecar/call_ingress.hpp"
#include "sidecar/connection_limits.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/endpoints.hpp"
#include "sidecar/peer_exchange.hpp"
#include "sidecar/planned_stop.hpp"
#include "sidecar/proof_keeper.hpp"
#include "sidecar/quota_exchange.hpp"
#include "sidecar/server_probe.hpp"
#include "sidecar/settings_watch.hpp"
#include "sidecar/store_follower.hpp"

namespace anisehold::sidecar {

using observability::Event;
using observability::log_event;
using observability::log_unless_bound;
using registration::RegistryChange;

struct Sidecar::Parts {
    Parts(net::EventLoop& loop, const WireDialect& dialect, store::CoordinationStore& store,
          config::SidecarSettings settings, std::string settings_file)
        : context(loop.io(), dialect, std::move(settings)),
          directory(context.settings.name, context.settings.zone, membership::PeerTimes{}),
          configuration(context),
          crashes(context, store, directory),
          gate(context, crashes),
          peers(context, directory, gate, configuration),
          proofs(context, store, configuration, directory),
          quotas(context, configuration, directory),
          follower(context, store, configuration, directory, proofs, crashes),
          ingress(context, configuration, directory, gate, proofs, quotas, crashes),
          endpoints({context, directory, configuration, crashes, gate, peers, ingress}),
          calls(loop.io(), call_server_limits(context.settings, {}),
                handlers([this](net::HttpRequest& request,
                                net::CancelSignal& cancel) { return ingress.handle(request, cancel); },
                         reject())),
          hops(loop.io(), internal_server_limits(context.settings, kHopParts),
               handlers([this](net::HttpRequest& request,
                               net::CancelSignal& cancel) { return endpoints.handle_hop(request, cancel); },
                        [this](ErrorKind kind) { return endpoints.reject_hop(kind); })),
          control(loop.io(), internal_server_limits(context.settings, kAdminParts),
                  endpoint_handlers(&Endpoints::handle_registration)),
          readiness(loop.io(), internal_server_limits(context.settings, kAdminParts),
                    endpoint_handlers(&Endpoints::handle_readiness)),
          metrics(loop.io(), internal_server_limits(context.settings, kAdminParts),
                  endpoint_handlers(&Endpoints::handle_admin)),
          settings_watch(context, ingress, std::move(settings_file)) {}

    using Handle = std::function<net::HttpResponse(net::HttpRequest&, net::CancelSignal&)>;
    using Reject = std::function<net::HttpResponse(ErrorKind)>;

    net::HttpServerHandlers handlers(Handle handle, Reject reject) {
        return {std::move(handle), std::move(reject),
                [this] { context.metrics.count_connection_given_up(); }};
    }
    Reject reject() {
        return [this](ErrorKind kind) { return ingress.reject(kind); };
    }
    /// Handlers for requests that an endpoint answers at once.
    template <typename Endpoint>
    net::HttpServerHandlers endpoint_handlers(Endpoint endpoint) {
        return handlers(
            [this, endpoint](net::HttpRequest& request, net::CancelSignal& /*cancel*/) {
                return (endpoints.*endpoint)(request);
            },
            reject());
    }
    /// Handles a peer's message about crashes or tenants; returns false for any other message.
    bool receive_message(std::string_view bytes);

    SidecarContext context;
    membership::PeerDirectory directory;
    ConfigurationHolder configuration;
    CrashExchange crashes;
    LocalGate gate;
    PeerExchange peers;
    ProofKeeper proofs;
    QuotaExchange quotas;
    StoreFollower follower;
    CallIngress ingress;
    Endpoints endpoints;
    net::HttpServer calls;
    net::HttpServer hops;
    net::HttpServer control;
    net::HttpServer readiness;
    net::HttpServer metrics;
    SettingsWatch settings_watch;
    bool has_probed_server = false;
};

bool Sidecar::Parts::receive_message(std::string_view bytes) {
    if (const auto report = suspects::decodeCrashReport(bytes)) {
        crashes.on_report(*report);
        return true;
    }
    const auto message = tenancy::decode(bytes);
    if (!message) {
        return false;
    }
    if (const auto* proof_request = boost::get<tenancy::ProofRequest>(&*message)) {
        proofs.on_request(*proof_request);
    } else if (const auto* proof_reply = boost::get<tenancy::ProofReply>(&*message)) {
        proofs.on_reply(*proof_reply);
    } else if (const auto* quota_request = boost::get<tenancy::QuotaRequest>(&*message)) {
        quotas.on_request(*quota_request);
    } else if (const auto* quota_reply = boost::get<tenancy::QuotaReply>(&*message)) {
        quotas.on_reply(*quota_reply);
    } else if (const auto* lease_update = boost::get<tenancy::LeaseUpdate>(&*message)) {
        quotas.on_lease_update(*lease_update);
    }
    return true;
}

Sidecar::Sidecar(net::EventLoop& loop, const WireDialect& dialect, store::CoordinationStore& store,
                 config::SidecarSettings settings, std::string settings_file)
    : parts_(std::make_unique<Parts>(loop, dialect, store, std::move(settings), std::move(settings_file))) {}

Sidecar::~Sidecar() = default;

bool Sidecar::start() {
    parts_->configuration.set_listener(
        [this](const routing::Configuration& configuration, ConfigurationSource source) {
            on_configuration(configuration, source);
        });
    if (!bind()) {
        return false;
    }
    const auto send = [this](const Endpoint& to, std::string_view bytes) { parts_->peers.send(to, bytes); };
    parts_->proofs.start(send);
    parts_->quotas.start(send);
    parts_->crashes.start(send);
    parts_->gate.set_change_listener([this] { parts_->peers.announce(); });
    parts_->peers.set_appearance_listener(
        [this](const Endpoint& gossip) { parts_->crashes.on_peer_appeared(gossip); });
    parts_->peers.set_other_receiver(
        [this](std::string_view bytes) { return parts_->receive_message(bytes); });
    parts_->follower.start([this] { parts_->peers.announce(); });
    net::EventLoop::spawn([this] { parts_->settings_watch.run(); });
    const auto& settings = parts_->context.settings;
    log_event(Event::kStarted, {{"zone", settings.zone},
                                {"listen", settings.calls.text()},
                                {"boot", std::to_string(parts_->context.boot_id)}});
    return true;
}

bool Sidecar::bind() {
    auto& parts = *parts_;
    const auto& settings = parts.context.settings;
    return log_unless_bound(parts.hops.start(settings.hops), settings.hops, "hops") &&
           log_unless_bound(parts.peers.start(), settings.gossip, "gossip") &&
           log_unless_bound(parts.control.start(settings.control), settings.control, "control") &&
           log_unless_bound(parts.metrics.start(settings.metrics), settings.metrics, "metrics") &&
           log_unless_bound(parts.calls.start(settings.calls), settings.calls, "calls") &&
           log_unless_bound(parts.readiness.start(settings.readiness), settings.readiness, "readiness");
}

void Sidecar::stop(const std::string& reason) {
    run_planned_stop(
        {parts_->context, parts_->calls, parts_->hops, parts_->ingress, parts_->gate, parts_->peers}, reason);
}

void Sidecar::on_configuration(const routing::Configuration& configuration, ConfigurationSource source) {
    parts_->calls.set_limits(call_server_limits(parts_->context.settings, configuration.clients));
    if (!parts_->has_probed_server && parts_->context.has(config::Mechanism::kStartupServerProbe)) {
        parts_->has_probed_server = true;
        net::EventLoop::spawn([this] { probe_server(); });
    }
    // Only watchers announce a new version to all peers; if every daemon did, each version would cost a
    // number of messages quadratic in the fleet size.
    if (source == ConfigurationSource::kStore) {
        parts_->peers.announce();
    }
}

void Sidecar::probe_server() {
    const auto health = probe_local_server(parts_->context, *parts_->configuration.current());
    if (!health) {
        return;
    }
    const auto found = heartbeat_of(parts_->context, *health);
    const auto change = parts_->gate.servers().on_probed(TimePoint::clock::now(), found);
    parts_->gate.on_health(*health);
    if (change == RegistryChange::kAppeared) {
        parts_->peers.announce();
    }
}

}  // namespace anisehold::sidecar
