#include "daemon/backend_watch.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/event_loop.hpp"
#include "observability/events.hpp"

namespace anisehold::daemon {
namespace {

using observability::Event;
using observability::log_event;

/// Timeout of a request for the machine list.
constexpr milliseconds kListTimeout{2'000};
/// Timeout of a health probe.
constexpr milliseconds kHealthTimeout{500};
/// Health response of a leaving server: this status, and a body that contains this word.
constexpr unsigned kServiceUnavailable = 503;
constexpr std::string_view kDraining = "draining";

std::string state_text(const routing::ListedServer& server) {
    return server.leaving ? "leaving" : "live";
}

}  // namespace

BackendWatch::BackendWatch(DaemonContext& context, MembershipService& membership,
                           routing::BackendRegistry& registry)
    : context_(context),
      membership_(membership),
      registry_(registry),
      list_(context.io, context.settings.platform_machine_list, context.settings.platform_machine_list_path) {
}

void BackendWatch::start() {
    if (context_.settings.platform_machine_list.port != 0) {
        net::EventLoop::spawn([this] { run_list_polls(); });
    }
    if (context_.has(config::Mechanism::kLeavingDetection)) {
        net::EventLoop::spawn([this] { run_health_probes(); });
    }
}

void BackendWatch::run_list_polls() {
    while (true) {
        std::error_code error;
        const auto servers = list_.fetch(kListTimeout, error);
        if (servers) {
            report_changes(*servers);
            registry_.update_list(TimePoint::clock::now(), *servers);
        }
        if (servers.has_value() != list_reachable_) {
            list_reachable_ = servers.has_value();
            log_event(list_reachable_ ? Event::kMachineListReachable : Event::kMachineListUnreachable,
                      {{"reason", error.message()}});
        }
        boost::this_fiber::sleep_for(milliseconds(context_.settings.platform_poll_ms));
    }
}

void BackendWatch::report_changes(const std::vector<routing::ListedServer>& servers) {
    for (const auto& server : servers) {
        const auto* known = registry_.find(server.endpoint);
        if (known == nullptr || known->leaving != server.leaving) {
            log_event(Event::kServerListed, {{"server", server.endpoint.text()},
                                             {"service", server.service},
                                             {"zone", server.zone},
                                             {"state", state_text(server)}});
        }
    }
    for (const auto& known : registry_.servers()) {
        const bool still_listed = std::any_of(servers.begin(), servers.end(), [&](const auto& server) {
            return server.endpoint == known.endpoint;
        });
        if (!still_listed) {
            log_event(Event::kServerListed, {{"server", known.endpoint.text()}, {"state", "gone"}});
            health_clients_.erase(known.endpoint);
        }
    }
}

void BackendWatch::run_health_probes() {
    while (true) {
        for (const auto& server : registry_.servers()) {
            const auto gate = membership_.gate_of(server.endpoint, server.zone);
            if (gate && gate->id == context_.self.id) {
                net::EventLoop::spawn([this, server] { probe(server); });
            }
        }
        boost::this_fiber::sleep_for(milliseconds(context_.settings.backends_health_period_ms));
    }
}

void BackendWatch::probe(const routing::ListedServer& server) {
    auto& kept = health_clients_[server.endpoint];
    if (!kept) {
        kept = std::make_shared<net::HttpClient>(context_.io, server.endpoint);
    }
    // Keeps the client alive: the list update may remove the server while the probe is in flight.
    const auto client = kept;
    auto request = net::make_request("GET", "/health");
    net::ExchangeProgress progress;
    std::error_code error;
    const auto now = TimePoint::clock::now();
    const auto response = client->exchange(request, {now + kHealthTimeout, nullptr}, progress, error);
    const bool draining = response && response->status == kServiceUnavailable &&
                          response->body.prefix.find(kDraining) != std::string::npos;
    if (!draining) {
        return;
    }
    if (!registry_.is_leaving(now, server.endpoint)) {
        log_event(Event::kServerLeaving, {{"server", server.endpoint.text()}, {"sign", "health"}});
    }
    registry_.mark_leaving(now, server.endpoint);
}

}  // namespace anisehold::daemon
