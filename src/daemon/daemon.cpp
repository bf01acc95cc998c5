#include "daemon/daemon.hpp"

#include <boost/fiber/operations.hpp>
#include <random>

#include "daemon/admin_server.hpp"
#include "daemon/backend_watch.hpp"
#include "daemon/claim_service.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/document_service.hpp"
#include "daemon/gate_service.hpp"
#include "daemon/http_limits.hpp"
#include "daemon/ingress.hpp"
#include "daemon/membership_service.hpp"
#include "daemon/peer_client.hpp"
#include "daemon/peer_service.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "observability/events.hpp"

namespace anisehold::daemon {
namespace {

using observability::Event;
using observability::log_event;
using observability::log_unless_bound;

/// Time for callers and peers to switch to other daemons after the announcement, before the listener may
/// close.
constexpr milliseconds kLameDuckPeriod{1'500};
/// Interval between two checks for calls in flight.
constexpr milliseconds kDrainPollPeriod{20};
/// Maximum wait for the handover of claims: while the store is unavailable, the holder view can't change.
constexpr seconds kMaxHandoverTime{10};
/// Interval between two checks of the holder view. Each check sends requests to the view's holders.
constexpr milliseconds kHandoverPollPeriod{100};

std::uint64_t random_seed() {
    std::random_device device;
    constexpr unsigned half = 32;
    return (static_cast<std::uint64_t>(device()) << half) | device();
}

membership::MemberInfo self_info(const config::Settings& settings) {
    return {settings.daemon_id,     settings.daemon_zone, random_seed(),
            settings.daemon_listen, settings.daemon_peer, settings.daemon_admin};
}

}  // namespace

struct Daemon::Parts {
    Parts(net::EventLoop& loop, config::Settings settings)
        : context{loop.io(),
                  settings,
                  config::MechanismSet(settings.lab_without),
                  self_info(settings),
                  {},
                  {},
                  std::mt19937_64(random_seed())},
          peers(context),
          membership(context, peers),
          documents(context, peers, membership),
          claims(context, peers, membership, documents),
          gates(context, membership, registry),
          watch(context, membership, registry),
          ingress(context, peers, membership, documents, claims, gates, registry),
          peer_service(context, membership, documents, claims, gates),
          admin(context, peers, membership, documents, claims, gates, registry),
          server(context.io, caller_limits(context.settings),
                 {[this](net::HttpRequest& request, net::CancelSignal& cancel) {
                      return ingress.handle(request, cancel);
                  },
                  [this](ErrorKind kind) { return ingress.reject(kind); }}) {}

    bool busy() const { return server.requests_in_flight() > 0 || gates.calls_in_flight() > 0; }
    void wait_while_busy(TimePoint until) const;
    /// Returns when no call is in flight and the claims are handed over, or when the configured grace period
    /// is over.
    void drain();

    DaemonContext context;
    routing::BackendRegistry registry;
    PeerClient peers;
    MembershipService membership;
    DocumentService documents;
    ClaimService claims;
    GateService gates;
    BackendWatch watch;
    Ingress ingress;
    PeerService peer_service;
    AdminServer admin;
    net::HttpServer server;
};

void Daemon::Parts::wait_while_busy(TimePoint until) const {
    while (busy() && TimePoint::clock::now() < until) {
        boost::this_fiber::sleep_for(kDrainPollPeriod);
    }
}

void Daemon::Parts::drain() {
    server.begin_closing();
    const auto started = TimePoint::clock::now();
    const auto grace_ends = started + milliseconds(context.settings.daemon_stop_grace_ms);
    // The listener stays open while calls are in flight, because their nested calls arrive through it.
    boost::this_fiber::sleep_for(kLameDuckPeriod);
    wait_while_busy(grace_ends);
    const auto handover_ends = started + kMaxHandoverTime;
    while (!claims.handed_over() && TimePoint::clock::now() < std::min(handover_ends, grace_ends)) {
        boost::this_fiber::sleep_for(kHandoverPollPeriod);
    }
    wait_while_busy(grace_ends);
    server.stop_accepting();
    wait_while_busy(grace_ends);
    // No other fiber runs from here to the exit: it could begin a call, which the exit would cut.
}

Daemon::Daemon(net::EventLoop& loop, config::Settings settings)
    : parts_(std::make_unique<Parts>(loop, std::move(settings))) {}

Daemon::~Daemon() = default;

bool Daemon::start() {
    const auto& settings = parts_->context.settings;
    if (!log_unless_bound(parts_->peer_service.start(), settings.daemon_peer, "peers, TCP") ||
        !log_unless_bound(parts_->membership.start(), settings.daemon_peer, "peers, UDP") ||
        !log_unless_bound(parts_->admin.start(), settings.daemon_admin, "admin")) {
        return false;
    }
    parts_->documents.start();
    parts_->claims.start();
    parts_->gates.start();
    parts_->watch.start();
    if (!log_unless_bound(parts_->server.start(settings.daemon_listen), settings.daemon_listen, "callers")) {
        return false;
    }
    for (const auto& name : settings.lab_without) {
        log_event(Event::kMechanismOff, {{"mechanism", name}});
    }
    log_event(Event::kStarted, {{"zone", settings.daemon_zone}, {"listen", settings.daemon_listen.text()}});
    return true;
}

void Daemon::stop(const std::string& reason) {
    const auto began = TimePoint::clock::now();
    log_event(Event::kStopping, {{"reason", reason}});
    parts_->admin.set_stopping();
    parts_->membership.announce_self(membership::MemberState::kLeaving);
    if (parts_->context.has(config::Mechanism::kGracefulDrain)) {
        parts_->drain();
    }
    parts_->membership.announce_self(membership::MemberState::kLeft);
    log_event(Event::kStopped,
              {{"in_flight", std::to_string(parts_->server.requests_in_flight())},
               {"taken_ms", std::to_string(to_milliseconds(TimePoint::clock::now() - began))}});
}

}  // namespace anisehold::daemon
