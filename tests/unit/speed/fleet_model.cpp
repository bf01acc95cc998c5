#include "fleet_model.hpp"

#include <algorithm>
#include <cmath>

#include "admission/policy/knee_limit.hpp"

namespace anisehold::speed::test
{
namespace
{

constexpr std::size_t zoneCount = 3;
constexpr Duration noisePeriod = milliseconds (600);
constexpr Duration localLink = microseconds (300);
constexpr Duration remoteLink = microseconds (1'500);
constexpr Duration localRecords = seconds (1);
constexpr Duration maxWait = milliseconds (200);
constexpr Duration timeout = milliseconds (800);
constexpr double scatter = 0.4;
constexpr const char* service = "work";

std::string zoneOf (std::size_t n)
{
    return "zone-" + std::to_string (n % zoneCount);
}

Duration fromMs (double ms)
{
    return std::chrono::duration_cast<Duration> (std::chrono::duration<double, std::milli> (ms));
}

} // namespace

double FleetResult::percentileMs (double share) const
{
    return latenciesMs.empty()
               ? 0
               : latenciesMs[static_cast<std::size_t> (share * static_cast<double> (latenciesMs.size() - 1))];
}

double FleetResult::shareWithin (double targetMs) const
{
    const auto end = std::upper_bound (latenciesMs.begin(), latenciesMs.end(), targetMs);
    return static_cast<double> (end - latenciesMs.begin()) / static_cast<double> (sent);
}

double FleetResult::shareOfServer (std::size_t n) const
{
    return static_cast<double> (servedByServer[n]) / static_cast<double> (latenciesMs.size());
}

FleetModel::Server::Server (unsigned slots)
    : gate (std::make_unique<admission::KneeLimit> (slots), { true, 1.5 })
{
}

FleetModel::FleetModel (FleetOptions given)
    : options (std::move (given)),
      generator (options.seed)
{
    double slotRate = 0;

    for (std::size_t n = 0; n < options.servers; ++n)
    {
        servers.push_back (std::make_unique<Server> (options.slots));
        servers.back()->name = "server-" + std::to_string (n);
        servers.back()->zone = zoneOf (n);
        servers.back()->rate = n / zoneCount % 2 == 0 ? 0.55 : 1.2;
        slotRate += options.slots * servers.back()->rate;
    }

    drawNoise();
    const double meanSlowness = 1 + options.slowShare * (options.slowFactor - 1);
    requestsPerS = options.load * slotRate / meanSlowness / options.workMs * 1'000;
    result.servedByServer.resize (options.servers);

    for (std::size_t n = 0; n < options.daemons; ++n)
    {
        const auto name = "daemon-" + std::to_string (n);
        selection::SelectionState state{ zoneOf (n), {}, {}, {} };
        state.rules.usesPresentSpeed = options.usesSpeed;
        daemons.push_back ({ membership::PeerDirectory (name, zoneOf (n), {}), state });
    }
}

FleetResult FleetModel::run()
{
    for (std::size_t n = 0; n < servers.size(); ++n)
        sendRecords (n, 1);

    schedule (now, [this] { arrive(); });
    const auto end = began + options.warmUp + options.duration;

    while (! events.empty() && events.top().at < end)
    {
        const auto event = events.top();
        events.pop();
        now = event.at;
        event.action();
    }

    std::sort (result.latenciesMs.begin(), result.latenciesMs.end());
    return result;
}

void FleetModel::schedule (TimePoint at, std::function<void()> action)
{
    events.push ({ at, nextOrder++, std::move (action) });
}

void FleetModel::sendRecords (std::size_t server, std::uint64_t sequence)
{
    auto& sender = *servers[server];
    const bool toAll = sequence == 1 || sequence % 5 == 0 || sequence % 5 == 3;

    for (auto& it : daemons)
    {
        if (! toAll && it.selection.ownZone != sender.zone)
            continue;

        membership::PeerRecord record;
        record.name = "beside-" + sender.name;
        record.zone = sender.zone;
        record.boot_id = 1;
        record.sequence = sequence;
        record.servers = { recordOf (sender) };
        it.directory.on_record (now, record);
    }

    const auto jitter = 0.9 + 0.2 * unit();
    schedule (now + std::chrono::duration_cast<Duration> (jitter * localRecords),
              [=, this] { sendRecords (server, sequence + 1); });
}

void FleetModel::arrive()
{
    std::exponential_distribution<double> gap (requestsPerS);
    schedule (now + fromMs (1'000 * gap (generator)), [this] { arrive(); });
    const auto id = nextId++;
    auto& request = requests[id];
    request.daemon = generator() % daemons.size();
    request.arrived = now;

    if (now - began >= options.warmUp)
        ++result.sent;

    send (id);
}

void FleetModel::send (std::uint64_t id)
{
    auto& request = requests[id];
    auto& daemon = daemons[request.daemon];
    const auto& view = daemon.directory.servers_of (now, service);
    const auto* chosen =
        selection::chooseServer (daemon.selection, now, view, request.tried, [this] { return unit(); });

    if (chosen == nullptr)
    {
        end (request, false);
        requests.erase (id);
        return;
    }

    request.server = std::stoul (chosen->server.instance.substr (7));
    request.tried.push_back (chosen->server.instance);
    selection::recordSent (daemon.selection, chosen->server.instance);
    schedule (now + linkTime (request), [=, this] { reach (id); });
}

void FleetModel::reach (std::uint64_t id)
{
    auto& request = requests[id];
    auto& server = *servers[request.server];
    admission::GateCall call;
    call.id = id;
    call.root_started = now;
    call.deadline = request.arrived + timeout;
    call.latest_start = now + maxWait;
    const auto decision = server.gate.arrive (now, call);

    if (decision.evicted)
        answer (*decision.evicted, false);

    if (decision.verdict == admission::GateVerdict::kAdmitted)
        start (id);
    else if (decision.verdict == admission::GateVerdict::kRefused)
        answer (id, false);
    else
    {
        request.waits = true;
        schedule (std::min (decision.give_up_at, now + maxWait),
                  [=, this]
                  {
                      const auto it = requests.find (id);

                      if (it == requests.end() || ! it->second.waits)
                          return;

                      servers[it->second.server]->gate.abandon (id);
                      answer (id, false);
                  });
    }
}

void FleetModel::start (std::uint64_t id)
{
    auto& request = requests[id];
    request.waits = false;
    request.started = now;
    std::lognormal_distribution<double> work (-scatter * scatter / 2, scatter);
    schedule (endOfWork (request.server, options.workMs * work (generator)), [=, this] { finish (id); });
}

void FleetModel::finish (std::uint64_t id)
{
    auto& request = requests[id];
    auto& server = *servers[request.server];

    if (options.usesSpeed)
        recordFigure (server.speed, now, options.stated (request.server, slownessOf (request.server, now)),
                      server.latency);

    learnTime (server.speed, now, now - request.started, server.latency);

    for (const auto it : server.gate.finish (now, id, admission::SampleOutcome::kCompleted, {}))
        start (it);

    answer (id, true);
}

void FleetModel::answer (std::uint64_t id, bool served)
{
    auto& request = requests[id];
    request.waits = false;
    const auto record = recordOf (*servers[request.server]);
    schedule (now + linkTime (request),
              [=, this]
              {
                  auto& ended = requests[id];
                  auto& daemon = daemons[ended.daemon];
                  daemon.directory.on_load ("beside-" + record.instance, record);
                  daemon.directory.on_speed (now, "beside-" + record.instance, record.instance,
                                             record.slow_percent);
                  selection::recordEnded (daemon.selection, now, record.instance, ! served);

                  if (! served && ended.tried.size() < 2)
                  {
                      send (id);
                      return;
                  }

                  if (served && ended.arrived - began >= options.warmUp)
                      ++result.servedByServer[ended.server];

                  end (ended, served);
                  requests.erase (id);
              });
}

void FleetModel::end (const Request& request, bool served)
{
    if (request.arrived - began < options.warmUp)
        return;

    if (served)
        result.latenciesMs.push_back (
            std::chrono::duration<double, std::milli> (now - request.arrived).count());
    else
        ++result.refused;
}

void FleetModel::drawNoise()
{
    std::mt19937 draw (options.seed + 1'000);
    const auto periods = static_cast<std::size_t> ((options.warmUp + options.duration) / noisePeriod) + 20;
    slowness.resize (options.servers, std::vector<double> (periods, 1.0));

    for (auto& ofServer : slowness)
        for (auto& it : ofServer)
            it = std::uniform_real_distribution<double> (0, 1) (draw) < options.slowShare ? options.slowFactor
                                                                                          : 1;
}

double FleetModel::slownessOf (std::size_t server, TimePoint at) const
{
    const auto& periods = slowness[server];
    return periods[std::min (static_cast<std::size_t> ((at - began) / noisePeriod), periods.size() - 1)];
}

TimePoint FleetModel::endOfWork (std::size_t server, double workMs) const
{
    auto at = now;
    double left = workMs / servers[server]->rate;

    while (true)
    {
        const double slowness = slownessOf (server, at);
        const auto epochEnd = began + ((at - began) / noisePeriod + 1) * noisePeriod;
        const auto finish = at + fromMs (left * slowness);

        if (finish <= epochEnd)
            return finish;

        left -= std::chrono::duration<double, std::milli> (epochEnd - at).count() / slowness;
        at = epochEnd;
    }
}

membership::ServerRecord FleetModel::recordOf (Server& server) const
{
    membership::ServerRecord record;
    const auto load = server.gate.load();
    record.instance = server.name;
    record.service = service;
    record.start_time = 1;
    record.slots = options.slots;
    record.in_flight = load.in_flight;
    record.queued = load.queued;
    record.limit = server.gate.usable_limit (now);
    record.latency_us = static_cast<unsigned> (server.latency / microseconds (1));
    record.slow_percent = slowPercent (server.speed, now);
    return record;
}

Duration FleetModel::linkTime (const Request& request) const
{
    return daemons[request.daemon].selection.ownZone == servers[request.server]->zone ? localLink
                                                                                      : remoteLink;
}

} // namespace anisehold::speed::test
