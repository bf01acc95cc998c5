#include "sidecar/forecast_updater.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <cmath>

#include "net/event_loop.hpp"
#include "observability/events.hpp"
#include "speed/server_speed.hpp"

namespace anisehold::sidecar {
namespace {

using observability::Event;
using observability::log_event;

/// Interval at which the capacity forecast is updated: a fraction of the half-life of the demand.
constexpr milliseconds kForecastPeriod{200};

/// The slowness that a server stated `age` ago, faded as in server selection.
unsigned present_slow_percent(const membership::ServerRecord& server, Duration age) {
    constexpr double percent = 100;
    return static_cast<unsigned>(std::lround(percent * speed::agedSlowness(server.slow_percent, age)));
}

}  // namespace

void ForecastUpdater::start() {
    if (is_on()) {
        net::EventLoop::spawn([this] { run(); });
    }
}

void ForecastUpdater::on_record(TimePoint now, const membership::PeerRecord& record) {
    if (is_on()) {
        overload::recordHeard(zone_contacts_, now, record.zone, record.name);
    }
}

void ForecastUpdater::run() {
    while (true) {
        boost::this_fiber::sleep_for(kForecastPeriod);
        update(TimePoint::clock::now());
    }
}

void ForecastUpdater::update(TimePoint now) {
    const auto capacities = overload::capacitiesOf(server_supplies(now));
    for (const auto& change : context_.overload.update_forecast(now, capacities)) {
        log_event(Event::kCapacityForecast, {{"service", change.service},
                                             {"capacity", std::to_string(change.capacity)},
                                             {"demand", std::to_string(change.demand)},
                                             {"correction", std::to_string(change.correction)},
                                             {"share", std::to_string(change.share)}});
    }
    update_metrics();
}

std::vector<overload::ServerSupply> ForecastUpdater::server_supplies(TimePoint now) {
    const auto& cut = update_cut_zones(now);
    std::vector<overload::ServerSupply> supplies;
    const auto add = [&](const membership::ServerRecord& server, TimePoint reported, TimePoint told,
                         bool reachable) {
        const bool is_cold = milliseconds(server.cold_ms) > now - reported;
        supplies.push_back({server.service, server.limit, server.busy_percent, server.latency_us,
                            server.failed_percent, server.declined_percent,
                            present_slow_percent(server, now - told), is_cold, reachable});
    };
    directory_.for_each_peer(now, [&](const membership::PeerReach& peer, const auto& servers) {
        const bool is_cut = cut.contains(peer.zone);
        if (is_cut || !peer.reachable) {
            context_.overload.on_peer_unreachable(peer.name);
        }
        for (const auto& known : servers) {
            add(known.server, known.last_seen, std::max(known.last_seen, known.speed_seen),
                peer.takes_requests && !is_cut);
        }
    });
    for (const auto& own : gate_.servers().records(now)) {
        add(own, now, now, true);
    }
    return supplies;
}

const std::set<std::string>& ForecastUpdater::update_cut_zones(TimePoint now) {
    const auto period = membership::record_periods(directory_.counts()).remote;
    auto cut = overload::silentZones(zone_contacts_, now, period);
    for (const auto& zone : cut) {
        if (!cut_zones_.contains(zone)) {
            log_event(Event::kZoneSilent, {{"zone", zone}});
        }
    }
    for (const auto& zone : cut_zones_) {
        if (!cut.contains(zone)) {
            log_event(Event::kZoneHeard, {{"zone", zone}});
        }
    }
    cut_zones_ = std::move(cut);
    return cut_zones_;
}

void ForecastUpdater::update_metrics() {
    const auto& forecasts = context_.overload.forecasts();
    for (const auto& service : services_) {
        if (!forecasts.contains(service)) {
            context_.metrics.set_forecast(service, {});
        }
    }
    for (const auto& [service, forecast] : forecasts) {
        services_.insert(service);
        context_.metrics.set_forecast(
            service, {forecast.capacity * forecast.correction, forecast.demand, forecast.share});
    }
}

}  // namespace anisehold::sidecar
