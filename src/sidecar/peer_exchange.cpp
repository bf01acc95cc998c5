#include "sidecar/peer_exchange.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <cmath>
#include <iomanip>
#include <sstream>

#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "observability/events.hpp"
#include "speed/server_speed.hpp"

namespace anisehold::sidecar {
namespace {

using membership::PeerChange;
using observability::Event;
using observability::log_event;

/// Time after which a watcher requests a new configuration from a peer, if its own watch hasn't returned the
/// configuration.
constexpr milliseconds kWatcherFetchPause{150};
/// Interval over which the other daemons spread their calls to the watchers.
constexpr milliseconds kFetchSpread{100};
/// Timeout of requesting the configuration from a peer.
constexpr milliseconds kFetchTimeout{1'000};
/// A known peer that appears within this time after an announcement already has this daemon's record, if the
/// peer was listening when the record was sent. When a whole fleet starts, most replies would be such
/// duplicates.
constexpr milliseconds kDuplicateReplyWindow{500};
/// Time for which refusals are counted before an onset is reported: long enough for a conclusion at some
/// hundred calls a second of the fleet. Onset reports raised the mean score of 15 days from 0.493 to 0.510
/// (docs/design/overload.md).
constexpr milliseconds kOnsetCountTime{100};
/// Time for which the peers' counts are awaited; the latency between zones is a few milliseconds.
constexpr milliseconds kOnsetReplyTime{60};

/// Interval at which the capacity forecast is updated: a fraction of the half-life of the demand.
constexpr milliseconds kForecastPeriod{200};

/// Formats shares as "route/rank:share ..." with two decimals, for the log.
std::string format_shares(const std::map<std::string, double>& shares) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(2);
    for (const auto& [row, share] : shares) {
        text << (text.tellp() > 0 ? " " : "") << row << ":" << share;
    }
    return text.str();
}

/// The slowness that a server stated `age` ago, faded as in server selection.
unsigned present_slow_percent(const membership::ServerRecord& server, Duration age) {
    constexpr double percent = 100;
    return static_cast<unsigned>(std::lround(percent * speed::agedSlowness(server.slow_percent, age)));
}

}  // namespace

PeerExchange::PeerExchange(SidecarContext& context, membership::PeerDirectory& directory, LocalGate& gate,
                           ConfigurationHolder& configuration)
    : context_(context),
      directory_(directory),
      gate_(gate),
      configuration_(configuration),
      socket_(context.io) {}

std::error_code PeerExchange::start() {
    const auto error =
        socket_.start(context_.settings.gossip,
                      [this](const Endpoint& /*from*/, std::string_view bytes) { receive(bytes); });
    opened_ = TimePoint::clock::now();
    if (!error) {
        net::EventLoop::spawn([this] { announce_periodically(); });
        if (context_.has(config::Mechanism::kCapacityForecast)) {
            net::EventLoop::spawn([this] { forecast_periodically(); });
        }
    }
    return error;
}

membership::PeerRecord PeerExchange::own_record(RecordReceivers receivers) {
    const auto& settings = context_.settings;
    membership::PeerRecord record;
    record.name = settings.name;
    record.zone = settings.zone;
    record.boot_id = context_.boot_id;
    record.sequence = ++sequence_;
    record.uptime_ms = static_cast<std::uint32_t>(to_milliseconds(TimePoint::clock::now() - opened_));
    record.call = settings.advertised_hops;
    record.gossip = settings.advertised_gossip;
    record.leaving = context_.stop.is_leaving();
    record.configuration_version = configuration_.version();
    record.watches_store = context_.store.watches();
    record.client_routes = context_.origins.own_verdicts();
    context_.overload.update_work_estimates();
    record.pressures = context_.overload.own_report();
    record.shortage.offered = context_.overload.offered_report(TimePoint::clock::now(), receivers);
    record.servers = gate_.servers().records(TimePoint::clock::now());
    if (receivers == RecordReceivers::kAll) {
        add_caller_report(record);
    }
    return record;
}

void PeerExchange::add_caller_report(membership::PeerRecord& record) {
    if (context_.has(config::Mechanism::kCallerFairness)) {
        record.shortage.callers = context_.callers.take_report(TimePoint::clock::now());
    }
}

void PeerExchange::receive_caller_report(TimePoint now, const membership::PeerRecord& record) {
    if (context_.has(config::Mechanism::kCallerFairness)) {
        context_.callers.on_peer_report(now, record.name, record.zone, record.shortage.callers);
    }
}

void PeerExchange::announce() {
    announced_ = TimePoint::clock::now();
    send_record_to(directory_.addresses(), RecordReceivers::kAll);
}

void PeerExchange::send_record_to(const std::vector<membership::PeerAddress>& peers,
                                  RecordReceivers receivers) {
    const auto bytes = encode(own_record(receivers));
    for (const auto& peer : peers) {
        socket_.send(peer.gossip, bytes);
    }
}

void PeerExchange::announce_periodically() {
    while (true) {
        const auto periods =
            membership::record_periods(directory_.counts(), context_.overload.is_under_pressure());
        context_.overload.set_period(periods.local);
        context_.overload.set_early_report_gap(membership::min_announcement_gap(directory_.counts()));
        const auto period =
            std::chrono::duration_cast<Duration>(periods.local * (0.9 + 0.2 * context_.random_unit()));
        const bool is_onset = context_.overload.wait_for_onset(TimePoint::clock::now() + period);
        const bool reports_early = context_.overload.take_early_report();
        if (is_onset && !reports_early) {
            boost::this_fiber::sleep_for(kOnsetCountTime);
            announce_onset();
            boost::this_fiber::sleep_for(kOnsetReplyTime);
        }
        const auto now = TimePoint::clock::now();
        gate_.servers().expire(now);
        directory_.expire(now);
        context_.notices.expire(now);
        end_limit_period(now);
        tell_service_servers(now);
        log_retry_limit(now);
        // Sent up to half a local period early rather than half a period late.
        if (reports_early || now - announced_ + periods.local / 2 >= periods.remote) {
            announce();
        } else {
            send_record_to(directory_.local_zone_addresses(), RecordReceivers::kLocalZone);
        }
    }
}

void PeerExchange::announce_onset() {
    const auto reports = context_.overload.own_report();
    const bool refused_here =
        std::any_of(reports.begin(), reports.end(), [](const auto& each) { return each.recentRefused > 0; });
    // Daemons that only received reports of the onset have nothing to report; in a large fleet, all of them
    // would send to all others.
    if (refused_here &&
        TimePoint::clock::now() - announced_ >= membership::min_announcement_gap(directory_.counts())) {
        announce();
    }
}

overload::Utilizations PeerExchange::utilizations(TimePoint now) const {
    std::map<std::string, overload::SlotCount> services;
    const auto add = [&](const membership::ServerRecord& server) {
        overload::addServer(services, server.service,
                            {server.limit, server.busy_percent, server.failed_percent});
    };
    directory_.for_each_server(now, add);
    for (const auto& own : gate_.servers().records(now)) {
        add(own);
    }
    return overload::utilizationsOf(services);
}

void PeerExchange::end_limit_period(TimePoint now) {
    for (const auto& move : context_.overload.end_period(now, utilizations(now))) {
        log_event(Event::kRootLimitMoved, {{"service", move.service},
                                           {"from", std::to_string(move.from)},
                                           {"to", std::to_string(move.to)},
                                           {"ended", std::to_string(move.ended)},
                                           {"refused", std::to_string(move.refused)},
                                           {"daemons", std::to_string(move.daemons)},
                                           {"use", std::to_string(move.utilization)},
                                           {"let_in", format_shares(move.rowShares)}});
    }
}

void PeerExchange::forecast_periodically() {
    while (true) {
        boost::this_fiber::sleep_for(kForecastPeriod);
        update_forecast(TimePoint::clock::now());
    }
}

void PeerExchange::update_forecast(TimePoint now) {
    const auto capacities = overload::capacitiesOf(server_supplies(now));
    for (const auto& change : context_.overload.update_forecast(now, capacities)) {
        log_event(Event::kCapacityForecast, {{"service", change.service},
                                             {"capacity", std::to_string(change.capacity)},
                                             {"demand", std::to_string(change.demand)},
                                             {"correction", std::to_string(change.correction)},
                                             {"share", std::to_string(change.share)}});
    }
    update_forecast_metrics();
}

std::vector<overload::ServerSupply> PeerExchange::server_supplies(TimePoint now) {
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

const std::set<std::string>& PeerExchange::update_cut_zones(TimePoint now) {
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

void PeerExchange::update_forecast_metrics() {
    const auto& forecasts = context_.overload.forecasts();
    for (const auto& service : forecast_services_) {
        if (!forecasts.contains(service)) {
            context_.metrics.set_forecast(service, {});
        }
    }
    for (const auto& [service, forecast] : forecasts) {
        forecast_services_.insert(service);
        context_.metrics.set_forecast(
            service, {forecast.capacity * forecast.correction, forecast.demand, forecast.share});
    }
}

void PeerExchange::tell_service_servers(TimePoint now) {
    const auto& service = context_.settings.service;
    if (!context_.has(config::Mechanism::kGateRetryBudget) || !gate_.servers().serves(service)) {
        return;
    }
    std::size_t count = 0;
    std::uint64_t identity = 0;
    const auto add = [&](const membership::ServerRecord& server, std::uint64_t boot_id) {
        ++count;
        identity += std::hash<std::string>{}(server.instance + '/' + std::to_string(server.start_time) + '/' +
                                             std::to_string(boot_id));
    };
    const auto& view = directory_.servers_of(now, service);
    for (const auto* list : {&view.local, &view.remote}) {
        for (const auto* known : *list) {
            add(known->server, known->boot_id);
        }
    }
    for (const auto& own : gate_.servers().records(now)) {
        add(own, context_.boot_id);
    }
    gate_.on_service_servers(now, service, count, identity);
}

void PeerExchange::log_retry_limit(TimePoint now) {
    for (const auto& change : context_.overload.take_retry_limit_changes(now)) {
        log_event(Event::kRetryLimitMoved, {{"service", change.service},
                                            {"declined", std::to_string(change.declined)},
                                            {"retries_per_s", std::to_string(change.retriesPerS)},
                                            {"let_in", format_shares(change.rowShares)}});
    }
}

void PeerExchange::report_declines(TimePoint now, const std::vector<membership::ServerRecord>& servers) {
    if (!context_.has(config::Mechanism::kGateRetryBudget)) {
        return;
    }
    for (const auto& server : servers) {
        context_.overload.on_declined_share(now, server.service,
                                            {server.instance, server.declined_percent, server.latency_us});
    }
}

void PeerExchange::receive(std::string_view bytes) {
    if (other_receiver_ && other_receiver_(bytes)) {
        return;
    }
    auto record = membership::decode_peer_record(bytes);
    if (!record) {
        log_event(Event::kPeerFrameRefused, {{"bytes", std::to_string(bytes.size())}});
        return;
    }
    context_.origins.on_peer_verdict(record->client_routes);
    const auto now = TimePoint::clock::now();
    const bool listened = announced_ > now - milliseconds(record->uptime_ms);
    const bool has_record = !context_.overload.has_work_estimates() && directory_.knows(record->name) &&
                            listened && now - announced_ < kDuplicateReplyWindow;
    const auto change = directory_.on_record(now, *record);
    if (change == PeerChange::kAppeared || change == PeerChange::kServersChanged) {
        tell_service_servers(now);
    }
    if (change != PeerChange::kNone) {
        on_overload_report(now, *record);
    }
    if (change == PeerChange::kAppeared && !has_record) {
        socket_.send(record->gossip, encode(own_record(RecordReceivers::kNewPeer)));
    }
    if (change == PeerChange::kAppeared && appearance_listener_) {
        appearance_listener_(record->gossip);
    }
    if (change == PeerChange::kAppeared || change == PeerChange::kServersChanged) {
        log_event(Event::kPeerChanged,
                  {{"peer", record->name},
                   {"boot", std::to_string(record->boot_id)},
                   {"sequence", std::to_string(record->sequence)},
                   {"leaving", record->leaving ? "yes" : "no"},
                   {"server", record->servers.empty() ? "" : record->servers.front().instance},
                   {"service", record->servers.empty() ? "" : record->servers.front().service}});
    }
    const auto version = record->configuration_version;
    if (version > configuration_.version() && version > fetching_version_) {
        fetching_version_ = version;
        net::EventLoop::spawn([this, peer = record->call, version] { fetch_configuration(peer, version); });
    }
}

void PeerExchange::on_overload_report(TimePoint now, const membership::PeerRecord& record) {
    if (context_.has(config::Mechanism::kFleetWideCounts)) {
        context_.overload.on_peer_report(now, record.name, record.pressures);
        receive_caller_report(now, record);
    }
    report_declines(now, record.servers);
    context_.overload.on_peer_demand(now, record.name, record.shortage.offered);
    if (context_.has(config::Mechanism::kCapacityForecast)) {
        overload::recordHeard(zone_contacts_, now, record.zone, record.name);
    }
}

void PeerExchange::fetch_configuration(const Endpoint& peer, std::uint64_t version) {
    if (configuration_.version() != 0) {
        const std::chrono::duration<double> spread = kFetchSpread * context_.random_unit();
        boost::this_fiber::sleep_for(context_.store.watches() ? Duration(kWatcherFetchPause)
                                                              : std::chrono::duration_cast<Duration>(spread));
    }
    if (configuration_.version() < version) {
        net::HttpClient client(context_.io, peer);
        auto request = net::make_request("GET", kConfigurationPath);
        std::error_code error;
        const auto text = net::fetch_text(client, request, TimePoint::clock::now() + kFetchTimeout, error);
        if (text) {
            configuration_.offer(*text, ConfigurationSource::kPeer);
        }
    }
    fetching_version_ = 0;
}

}  // namespace anisehold::sidecar
