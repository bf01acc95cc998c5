#include "sidecar/sidecar.hpp"

#include <boost/fiber/operations.hpp>
#include <fstream>
#include <sstream>

#include "net/http_server.hpp"
#include "observability/events.hpp"
#include "sidecar/call_ingress.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/peer_exchange.hpp"
#include "sidecar/proof_keeper.hpp"
#include "sidecar/quota_exchange.hpp"
#include "sidecar/server_probe.hpp"
#include "sidecar/store_follower.hpp"

namespace anisehold::sidecar {
namespace {

using observability::Event;
using observability::log_event;
using observability::log_unless_bound;
using registration::RegistryChange;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;
/// Where operators see and lift verdicts, at the metrics address.
constexpr std::string_view kSuspectsPath = "/suspects/";
constexpr const char* kJsonType = "application/json";
constexpr const char* kTextType = "text/plain";

/// A daemon without known peers counts as ready after this time: it may be alone, or the store down.
constexpr seconds kAloneAfter{5};
constexpr milliseconds kSettingsPeriod{1'000};
/// When peers are told to send nothing more, after a stop began.
constexpr milliseconds kLeaveAfter{2'000};
/// How much longer callers of this machine may take to turn away: the platform asks for readiness each
/// second, twice, and a request may be under way by then.
constexpr milliseconds kTurnAwayRest{600};
/// Part of the grace time after which no connection is accepted, even if callers haven't turned away.
constexpr int kAcceptPercent = 60;
/// No request for that long: nobody comes any more.
constexpr milliseconds kQuietTime{150};
constexpr milliseconds kStopPoll{20};
/// Part of the grace time that is kept for the end itself.
constexpr milliseconds kStopMargin{400};
/// Connections are kept longer than callers reuse them.
constexpr int kIdleMarginPercent = 125;
constexpr milliseconds kPeerIdle{120'000};
constexpr milliseconds kBodyPause{60'000};

net::HttpServerLimits limits_for(const routing::ClientBounds& bounds) {
    net::HttpServerLimits limits;
    limits.header_bytes = bounds.header_bytes;
    limits.body_bytes = bounds.body_bytes;
    limits.header_timeout_ms = bounds.header_timeout;
    limits.idle_timeout_ms = bounds.idle_timeout * kIdleMarginPercent / 100;
    limits.body_timeout_ms = kBodyPause;
    return limits;
}

net::HttpServerLimits peer_limits() {
    net::HttpServerLimits limits;
    limits.header_bytes = 64 * 1024;
    limits.idle_timeout_ms = kPeerIdle;
    limits.body_timeout_ms = kBodyPause;
    return limits;
}

std::string read_text(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

}  // namespace

struct Sidecar::Parts {
    Parts(net::EventLoop& loop, const WireDialect& dialect, store::CoordinationStore& store,
          config::SidecarSettings settings, Sidecar& owner)
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
          calls(loop.io(), limits_for({}),
                {[this](net::HttpRequest& request, net::CancelSignal& cancel) {
                     return ingress.handle(request, cancel);
                 },
                 [this](ErrorKind kind) { return ingress.reject(kind); }}),
          hops(loop.io(), peer_limits(),
               {[&owner](net::HttpRequest& request, net::CancelSignal& cancel) {
                    return owner.handle_hop(request, cancel);
                },
                [this](ErrorKind kind) { return ingress.reject(kind); }}),
          control(loop.io(), peer_limits(), internal(owner, &Sidecar::handle_registration)),
          readiness(loop.io(), peer_limits(), internal(owner, &Sidecar::handle_readiness)),
          metrics(loop.io(), peer_limits(), internal(owner, &Sidecar::handle_metrics)) {}

    net::HttpServerHandlers internal(Sidecar& owner,
                                     net::HttpResponse (Sidecar::*handle)(net::HttpRequest&)) {
        return {[&owner, handle](net::HttpRequest& request, net::CancelSignal& /*cancel*/) {
                    return (owner.*handle)(request);
                },
                [this](ErrorKind kind) { return ingress.reject(kind); }};
    }

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
    net::HttpServer calls;
    net::HttpServer hops;
    net::HttpServer control;
    net::HttpServer readiness;
    net::HttpServer metrics;
    TimePoint started = TimePoint::clock::now();
    bool looked_for_server = false;
};

Sidecar::Sidecar(net::EventLoop& loop, const WireDialect& dialect, store::CoordinationStore& store,
                 config::SidecarSettings settings, std::string settings_file)
    : parts_(std::make_unique<Parts>(loop, dialect, store, std::move(settings), *this)),
      settings_file_(std::move(settings_file)),
      settings_text_(read_text(settings_file_)) {}

Sidecar::~Sidecar() = default;

bool Sidecar::start() {
    const auto& settings = parts_->context.settings;
    parts_->configuration.set_listener(
        [this](const routing::Configuration& configuration, ConfigurationSource source) {
            parts_->calls.set_limits(limits_for(configuration.clients));
            if (!parts_->looked_for_server && parts_->context.has(config::Mechanism::kServerProbe)) {
                parts_->looked_for_server = true;
                net::EventLoop::spawn([this] { find_server(); });
            }
            // Watchers tell all; if everyone did, each version would cost the square of the fleet.
            if (source == ConfigurationSource::kStore) {
                parts_->peers.announce();
            }
        });
    const bool all_bound =
        log_unless_bound(parts_->hops.start(settings.hops), settings.hops, "hops") &&
        log_unless_bound(parts_->peers.start(), settings.gossip, "gossip") &&
        log_unless_bound(parts_->control.start(settings.control), settings.control, "control") &&
        log_unless_bound(parts_->metrics.start(settings.metrics), settings.metrics, "metrics") &&
        log_unless_bound(parts_->calls.start(settings.calls), settings.calls, "calls") &&
        log_unless_bound(parts_->readiness.start(settings.readiness), settings.readiness, "readiness");
    if (!all_bound) {
        return false;
    }
    const auto send = [this](const Endpoint& to, std::string_view bytes) { parts_->peers.send(to, bytes); };
    parts_->proofs.start(send);
    parts_->quotas.start(send);
    parts_->crashes.start(send);
    parts_->gate.set_crash_listener([this] { parts_->peers.announce(); });
    parts_->peers.set_appearance_listener(
        [this](const Endpoint& gossip) { parts_->crashes.on_peer_appeared(gossip); });
    parts_->peers.set_other_receiver([this](std::string_view bytes) { return receive_message(bytes); });
    parts_->follower.start([this] { parts_->peers.announce(); });
    net::EventLoop::spawn([this] { watch_settings(); });
    log_event(Event::kStarted, {{"zone", settings.zone},
                                {"listen", settings.calls.text()},
                                {"boot", std::to_string(parts_->context.boot_id)}});
    return true;
}

void Sidecar::stop() {
    auto& context = parts_->context;
    log_event(Event::kStopping, {{"in_flight", std::to_string(parts_->calls.requests_in_flight())}});
    context.stop.begin();
    parts_->calls.begin_closing();
    const auto began = TimePoint::clock::now();
    const auto grace_ends = began + context.settings.stop_grace - kStopMargin;
    // The server beside goes on serving the fleet while this machine's callers turn away.
    boost::this_fiber::sleep_for(std::min<Duration>(kLeaveAfter, context.settings.stop_grace / 3));
    context.stop.leave();
    parts_->peers.announce();
    parts_->hops.begin_closing();
    boost::this_fiber::sleep_for(std::min<Duration>(kTurnAwayRest, context.settings.stop_grace / 10));
    wait_until_quiet(began + context.settings.stop_grace * kAcceptPercent / 100);
    // A request may have been read since: no new one is now, and those that were are seen to their end.
    parts_->calls.stop_accepting();
    parts_->hops.stop_accepting();
    parts_->calls.close_idle();
    parts_->hops.close_idle();
    wait_until_quiet(grace_ends);
    boost::this_fiber::sleep_for(kStopPoll);
    log_event(Event::kStopped, {{"in_flight", std::to_string(parts_->calls.requests_in_flight())}});
}

bool Sidecar::is_busy() const {
    return parts_->calls.requests_in_flight() > 0 || parts_->hops.requests_in_flight() > 0 ||
           parts_->gate.in_flight() > 0;
}

void Sidecar::wait_until_quiet(TimePoint latest) {
    auto quiet_since = TimePoint::clock::now();
    auto now = quiet_since;
    while (now - quiet_since < kQuietTime && now < latest) {
        boost::this_fiber::sleep_for(kStopPoll);
        now = TimePoint::clock::now();
        quiet_since = is_busy() ? now : quiet_since;
    }
}

bool Sidecar::is_ready() const {
    const bool knows_peers = parts_->context.store.has_listed() || parts_->directory.known_count() > 0 ||
                             TimePoint::clock::now() - parts_->started > kAloneAfter;
    return !parts_->context.stop.has_begun() && parts_->configuration.version() != 0 && knows_peers;
}

bool Sidecar::receive_message(std::string_view bytes) {
    if (const auto report = suspects::decodeCrashReport(bytes)) {
        parts_->crashes.on_report(*report);
        return true;
    }
    const auto message = tenancy::decode(bytes);
    if (!message) {
        return false;
    }
    if (const auto* proof_request = boost::get<tenancy::ProofRequest>(&*message)) {
        parts_->proofs.on_request(*proof_request);
    } else if (const auto* proof_reply = boost::get<tenancy::ProofReply>(&*message)) {
        parts_->proofs.on_reply(*proof_reply);
    } else if (const auto* quota_request = boost::get<tenancy::QuotaRequest>(&*message)) {
        parts_->quotas.on_request(*quota_request);
    } else if (const auto* quota_reply = boost::get<tenancy::QuotaReply>(&*message)) {
        parts_->quotas.on_reply(*quota_reply);
    }
    return true;
}

net::HttpResponse Sidecar::handle_hop(net::HttpRequest& request, net::CancelSignal& cancel) {
    const auto header = request.fields.find(hop::kRequestHeader);
    if (!header) {
        const bool asks_configuration = request.target == kConfigurationPath;
        return asks_configuration && parts_->configuration.version() != 0
                   ? net::make_response(kOk, kJsonType, parts_->configuration.text())
                   : net::make_response(kNotFound, kTextType, "not found\n");
    }
    const auto call = hop::decode_hop_request(*header);
    if (!call) {
        return parts_->ingress.reject(ErrorKind::kBadRequest);
    }
    request.fields.remove(hop::kRequestHeader);
    net::ExchangeProgress progress;
    auto answer = parts_->gate.run(std::move(request), *call, &cancel, progress);
    auto response =
        answer.response ? std::move(*answer.response) : net::make_response(kUnavailable, kTextType, "");
    response.fields.set(hop::kResultHeader, encode(answer.result));
    return response;
}

net::HttpResponse Sidecar::handle_registration(net::HttpRequest& request) {
    std::string problem;
    const auto call = parts_->context.dialect.read_registration(request, problem);
    if (!call) {
        if (problem.empty()) {
            return net::make_response(kNotFound, kTextType, "not found\n");
        }
        if (registration::take_refusal(refusals_, TimePoint::clock::now(), request.target)) {
            log_event(Event::kHeartbeatRefused, {{"target", request.target}, {"reason", problem}});
        }
        constexpr unsigned bad_request = 400;
        return net::make_response(bad_request, kTextType, problem + "\n");
    }
    const auto change = parts_->gate.servers().on_registration(TimePoint::clock::now(), *call);
    if (change != RegistryChange::kNone && change != RegistryChange::kRefreshed) {
        parts_->peers.announce();
    }
    return net::make_response(kOk, kJsonType, "{}");
}

net::HttpResponse Sidecar::handle_readiness(net::HttpRequest& request) {
    if (!parts_->context.dialect.is_readiness_call(request)) {
        return net::make_response(kNotFound, kTextType, "not found\n");
    }
    return is_ready() ? net::make_response(kOk, kTextType, "ready\n")
                      : net::make_response(kUnavailable, kTextType, "not ready\n");
}

net::HttpResponse Sidecar::handle_metrics(net::HttpRequest& request) {
    const auto path = routing::path_of(request.target);
    if (path.starts_with(kSuspectsPath)) {
        return handle_suspects(request.method, path.substr(kSuspectsPath.size()));
    }
    if (path != "/metrics") {
        return net::make_response(kNotFound, kTextType, "not found\n");
    }
    const auto now = TimePoint::clock::now();
    for (const auto& server : parts_->gate.servers().records(now)) {
        parts_->context.metrics.set_gate(server.instance, {server.in_flight, server.queued, server.limit});
    }
    parts_->context.metrics.set_members("alive", parts_->directory.reachable_count(now));
    parts_->context.metrics.set_table_revision(parts_->configuration.version());
    return net::make_response(kOk, kTextType, parts_->context.metrics.text());
}

net::HttpResponse Sidecar::handle_suspects(std::string_view method, std::string_view digest_text) {
    if (method == "GET" && digest_text.empty()) {
        std::string text;
        for (const auto& each : parts_->crashes.remembered(TimePoint::clock::now())) {
            text += each.digest.text() + " crashes=" + std::to_string(each.crashes) +
                    (each.is_condemned ? " condemned for_s=" : " suspected for_s=") +
                    std::to_string(to_milliseconds(each.ends_in) / 1000) + "\n";
        }
        return net::make_response(kOk, kTextType, text);
    }
    const auto digest = parse_request_digest(digest_text);
    if (method != "DELETE" || !digest) {
        constexpr unsigned bad_request = 400;
        return net::make_response(bad_request, kTextType,
                                  "GET " + std::string(kSuspectsPath) + " or DELETE " +
                                      std::string(kSuspectsPath) + "DIGEST, 32 hexadecimal digits\n");
    }
    return parts_->crashes.lift(*digest) ? net::make_response(kOk, kTextType, "lifted\n")
                                         : net::make_response(kNotFound, kTextType, "not remembered\n");
}

void Sidecar::find_server() {
    const auto found = ask_server_beside(parts_->context, *parts_->configuration.current());
    if (found &&
        parts_->gate.servers().on_found(TimePoint::clock::now(), *found) == RegistryChange::kAppeared) {
        parts_->peers.announce();
    }
}

void Sidecar::watch_settings() {
    while (!parts_->context.stop.has_begun()) {
        boost::this_fiber::sleep_for(kSettingsPeriod);
        note_suspension();
        reload_settings();
    }
}

void Sidecar::note_suspension() {
    const auto steady = std::chrono::steady_clock::now().time_since_epoch();
    const auto now = TimePoint::clock::now();
    if (const auto gap = observability::take_suspension(suspension_, now, steady)) {
        log_event(Event::kMachineSuspended,
                  {{"suspended_ms", std::to_string(to_milliseconds(*gap))},
                   {"steady_ms", std::to_string(to_milliseconds(steady))},
                   {"boot_ms", std::to_string(to_milliseconds(now.time_since_epoch()))}});
    }
}

void Sidecar::reload_settings() {
    const auto text = read_text(settings_file_);
    if (text == settings_text_) {
        return;
    }
    settings_text_ = text;
    const auto loaded = config::load_sidecar_settings(settings_file_, text);
    if (!loaded.errors.empty()) {
        log_event(Event::kSettingsRejected, {{"reason", loaded.errors.front().text()}});
        return;
    }
    auto& settings = parts_->context.settings;
    settings.service = loaded.settings.service;
    settings.heartbeat_interval = loaded.settings.heartbeat_interval;
    settings.stop_grace = loaded.settings.stop_grace;
    settings.retry_ratio = loaded.settings.retry_ratio;
    settings.retry_extra = loaded.settings.retry_extra;
    settings.retry_window = loaded.settings.retry_window;
    settings.key_revocation = loaded.settings.key_revocation;
    parts_->ingress.apply_settings();
    log_event(Event::kSettingsReloaded, {{"service", settings.service}});
}

}  // namespace anisehold::sidecar
