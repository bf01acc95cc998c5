#include "sidecar/peer_exchange.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <iomanip>
#include <sstream>

#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "observability/events.hpp"

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

/// Formats shares as "route/rank:share ..." with two decimals, for the log.
std::string format_shares(const std::map<std::string, double>& shares) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(2);
    for (const auto& [row, share] : shares) {
        text << (text.tellp() > 0 ? " " : "") << row << ":" << share;
    }
    return text.str();
}

}  // namespace

PeerExchange::PeerExchange(SidecarContext& context, membership::PeerDirectory& directory, LocalGate& gate,
                           ConfigurationHolder& configuration)
    : context_(context),
      directory_(directory),
      gate_(gate),
      configuration_(configuration),
      forecast_(context, directory, gate),
      socket_(context.io) {}

std::error_code PeerExchange::start() {
    const auto error =
        socket_.start(context_.settings.gossip,
                      [this](const Endpoint& /*from*/, std::string_view bytes) { receive(bytes); });
    opened_ = TimePoint::clock::now();
    if (!error) {
        net::EventLoop::spawn([this] { announce_periodically(); });
        forecast_.start();
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
    forecast_.on_record(now, record);
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
