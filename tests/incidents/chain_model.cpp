#include "chain_model.hpp"

#include <algorithm>
#include <cmath>

#include "admission/policy/knee_limit.hpp"
#include "retry/attempt_plan.hpp"

namespace anisehold::model
{
namespace
{

constexpr const char* endService = "end";
constexpr milliseconds calmPeriod{ 1'000 };
constexpr milliseconds pressurePeriod{ 400 };
/** Same value as for the sidecar's gates. */
constexpr double queuePerLimit = 1.5;
/** Retry bounds of the recorded deployment, and the maximum number of servers that one call may reach. */
const retry::WindowBudgetTerms budgetTerms{ 0.2, 49, milliseconds (10'000) };
constexpr unsigned maxServers = 3;
/** Duration of a refusal by a server. */
constexpr milliseconds refusalTime{ 1 };
/** Weight of the newest call in a server's mean service time. */
constexpr double timeSample = 0.02;
/** Half-life of the observed work per chain, as in the sidecar's estimates. */
constexpr double workHalfLifeS = 10;
/** Number of machines that run the upstream servers. */
constexpr std::size_t runDaemons = 3;
/** Maximum duration of a call; far longer than all waits in the model. */
constexpr milliseconds callTime{ 700 };
/** Interval at which the sidecar updates its forecast, and minimum time between early reports. */
constexpr milliseconds forecastPeriod{ 200 };
constexpr milliseconds minReportGap{ 350 };
/** Time after which a cut is noticed: the silence of a zone of some 20 daemons. */
constexpr milliseconds cutNoticed{ 900 };

Duration fromMs (double ms)
{
    return std::chrono::duration_cast<Duration> (std::chrono::duration<double, std::milli> (ms));
}

} // namespace

ChainModel::ChainModel (std::vector<RowSpec> rowSpecs, std::vector<ServerSpec> serverSpecs,
                        std::size_t daemonCount, unsigned seed)
    : rows (std::move (rowSpecs)),
      daemons (daemonCount),
      random (seed)
{
    admission::GateOptions options;
    options.queue_per_limit = queuePerLimit;

    for (const auto& spec : serverSpecs)
        servers.push_back (std::make_unique<Server> (
            Server{ spec, { std::make_unique<admission::KneeLimit> (spec.slots), options }, {} }));

    for (std::size_t n = 0; n < daemons.size(); ++n)
    {
        daemons[n].ownName = "d" + std::to_string (n);
        budgets.emplace_back (budgetTerms, now - budgetTerms.window);
        at (now + fromMs (draw() * 1'000), [this, n] { report (n); });
    }

    for (const auto& spec : rows)
    {
        tallies[spec.row.name] = std::make_shared<RowTally>();
        sendRequests (spec);
    }
}

void ChainModel::useGateBudgets()
{
    gatesGrantRetries = true;

    for (auto& it : servers)
    {
        const retry::GateBudgetTerms terms{ budgetTerms.ratio, budgetTerms.extra, budgetTerms.window };
        it->budget = std::make_unique<retry::GateBudget> (terms, now - 3 * budgetTerms.window);
        it->budget->on_servers (now - 3 * budgetTerms.window, servers.size(), 1);
    }
}

void ChainModel::setRefusalShare (double share)
{
    for (auto& it : servers)
        it->spec.refusalShare = share;
}

void ChainModel::run (Duration time)
{
    const auto end = now + time;

    while (! events.empty() && events.top().time < end)
    {
        const auto event = events.top();
        events.pop();
        now = event.time;
        event.action();
    }

    now = end;
}

std::map<std::string, RowTally> ChainModel::takeTallies()
{
    std::map<std::string, RowTally> counts;

    for (auto& [name, tally] : tallies)
    {
        counts[name] = *tally;
        tally = std::make_shared<RowTally>();
    }

    return counts;
}

void ChainModel::at (TimePoint time, std::function<void()> action)
{
    events.push ({ time, ++lastOrder, std::move (action) });
}

void ChainModel::sendRequests (const RowSpec& spec)
{
    const double pause = -std::log (1 - draw()) / (spec.perSecond * load);
    at (now + fromMs (1'000 * pause),
        [this, &spec]
        {
            beginRequest (spec);
            sendRequests (spec);
        });
}

void ChainModel::beginRequest (const RowSpec& spec)
{
    const auto chain = std::make_shared<Chain>();
    chain->spec = &spec;
    chain->daemon = anyDaemon();
    chain->callsLeft = spec.calls;
    chain->tally = tallies[spec.row.name];
    ++chain->tally->sent;
    auto& limit = daemons[chain->daemon];
    overload::recordOffered (limit, now, spec.row);
    offerToForecast (chain->daemon, spec.row);

    if (gatesGrantRetries)
        overload::updateRetryShares (limit, now);

    if (refusesEarly && draw() < overload::refusedShare (limit, spec.row))
        ++chain->tally->refusedEarly;
    else if (spec.calls == 0)
        ++chain->tally->served;
    else
    {
        chain->admitted = now;
        overload::recordRequestStarted (limit, spec.row.name);

        if (gatesGrantRetries)
            overload::recordAdmittedRoot (limit, now, spec.row.name);

        at (now + fromMs (spec.delayMs), [this, chain] { beginCall (chain); });
    }
}

void ChainModel::beginCall (const std::shared_ptr<Chain>& chain)
{
    const auto call = std::make_shared<Call>();
    call->chain = chain;
    const auto& spec = *chain->spec;

    if ((spec.calls - chain->callsLeft) % spec.callsPerRun == 0)
        chain->runDaemon = spec.isDirect ? chain->daemon : runDaemonFor (chain->daemon);

    call->daemon = chain->runDaemon;
    budgets[call->daemon].on_request (now, endService);
    call->id = ++lastCall;
    call->tried.resize (servers.size());
    call->declinedAt.resize (servers.size());

    for (std::size_t n = 0; n < servers.size(); ++n)
        call->tried[n] = ! reaches (call->daemon, n);

    call->waitEnds = now + fromMs (chain->spec->maxWaitMs);
    tryServers (call);
}

std::size_t ChainModel::leastLoaded (const Call& call) const
{
    std::size_t best = servers.size();
    const auto fill = [&] (std::size_t n)
    {
        const auto load = servers[n]->gate.load();
        return (load.in_flight + load.queued) / static_cast<double> (load.limit);
    };

    for (std::size_t n = 0; n < servers.size(); ++n)
    {
        if (! call.tried[n] && (best == servers.size() || fill (n) < fill (best)))
            best = n;
    }

    return best;
}

void ChainModel::tryServers (const std::shared_ptr<Call>& call)
{
    while (true)
    {
        const auto best = leastLoaded (*call);

        if (best == servers.size() || now > call->waitEnds)
            return endCall (call, true);

        call->tried[best] = true;
        admission::GateCall gateCall;
        gateCall.id = call->id;
        gateCall.priority = call->chain->spec->callPriority;
        gateCall.root_started = now;
        gateCall.deadline = now + callTime;
        const auto decision = servers[best]->gate.arrive (now, gateCall);

        if (decision.evicted)
        {
            const auto evicted = waiting.extract (*decision.evicted).mapped();
            at (now, [this, evicted] { tryServers (evicted); });
        }

        if (decision.verdict == admission::GateVerdict::kRefused)
            continue;

        if (decision.verdict == admission::GateVerdict::kAdmitted)
            return startWork (best, call);

        waiting[call->id] = call;
        at (std::min<TimePoint> (decision.give_up_at, call->waitEnds),
            [this, call, best]
            {
                if (waiting.erase (call->id) == 0)
                    return;

                servers[best]->gate.abandon (call->id);
                tryServers (call);
            });
        return;
    }
}

void ChainModel::startWork (std::size_t server, const std::shared_ptr<Call>& call)
{
    auto& it = *servers[server];
    const auto inFlight = it.gate.load().in_flight;
    overload::recordValue (it.running, now, inFlight);

    if (! isGranted (server, call))
        return;

    if (draw() < it.spec.refusalShare)
        return at (now + refusalTime, [this, server, call] { endRefused (server, call); });

    const bool isBeyondKnee = inFlight > it.spec.kneeShare * it.spec.slots;
    const double scatter = 0.5 + draw();
    const double workMs =
        call->chain->spec->workMs * scatter * it.spec.slowness * (isBeyondKnee ? it.spec.kneeFactor : 1);
    call->began = now;
    at (now + fromMs (workMs), [this, server, call] { endWork (server, call); });
}

void ChainModel::endWork (std::size_t server, const std::shared_ptr<Call>& call)
{
    ++completed;
    const double ms = std::chrono::duration<double, std::milli> (now - call->began).count();
    call->chain->heldMs += ms;
    auto& mean = servers[server]->meanMs;
    mean += (mean > 0 ? timeSample : 1) * (ms - mean);
    recordDecline (server, *call, false);
    leaveServer (server, *call, admission::SampleOutcome::kCompleted);
    endCall (call, false);
}

void ChainModel::endRefused (std::size_t server, const std::shared_ptr<Call>& call)
{
    leaveServer (server, *call, admission::SampleOutcome::kShed);

    if (gatesGrantRetries)
        return repeatDeclined (server, call);

    const bool mayRepeat = ++call->reached < std::min<std::size_t> (maxServers, servers.size());

    if (mayRepeat &&
        budgets[call->daemon].try_retry (now, endService, daemons.size(), retry::RetryReason::kNoAnswer))
        return tryServers (call);

    overload::recordCallEnded (daemons[call->daemon], endService, false);
    failChain (*call->chain);
}

bool ChainModel::isGranted (std::size_t server, const std::shared_ptr<Call>& call)
{
    ++(call->reached > 0 ? retryArrivals : firstArrivals);

    if (! gatesGrantRetries)
        return true;

    auto& budget = *servers[server]->budget;

    if (call->reached == 0)
    {
        budget.on_first_arrival (now, 0);
        return true;
    }

    if (budget.try_retry (now, { call->chain->spec->callPriority, 0 }))
        return true;

    --retryArrivals;
    leaveServer (server, *call, admission::SampleOutcome::kIgnored);
    overload::recordCallEnded (daemons[call->daemon], endService, false);
    failChain (*call->chain);
    return false;
}

void ChainModel::recordDecline (std::size_t server, const Call& call, bool declined)
{
    if (! gatesGrantRetries)
        return;

    constexpr double latencySample = 0.125;
    auto& it = *servers[server];

    if (! declined)
    {
        const double elapsedUs = std::chrono::duration<double, std::micro> (now - call.began).count();
        it.latencyUs =
            it.latencyUs > 0 ? it.latencyUs + latencySample * (elapsedUs - it.latencyUs) : elapsedUs;
    }

    const auto change = admission::record_arrival_end (it.declined, now, declined);
    tellDecline (call.daemon, server);

    for (std::size_t n = 0; n < daemons.size() && change != admission::DeclineChange::kNone; ++n)
        tellDecline (n, server);
}

void ChainModel::tellDecline (std::size_t daemon, std::size_t server)
{
    constexpr double percent = 0.01;
    const auto& it = *servers[server];
    overload::recordServerDecline (
        daemons[daemon], endService, "s" + std::to_string (server),
        { percent * admission::declined_percent (it.declined, now), it.latencyUs, now });
}

void ChainModel::repeatDeclined (std::size_t server, const std::shared_ptr<Call>& call)
{
    recordDecline (server, *call, true);
    call->declinedAt[server] = true;
    const auto reached = std::count (call->declinedAt.begin(), call->declinedAt.end(), true);

    if (++call->reached >= retry::kMaxSends)
    {
        overload::recordCallEnded (daemons[call->daemon], endService, false);
        return failChain (*call->chain);
    }

    const bool mayReachAnother =
        reached < static_cast<std::ptrdiff_t> (std::min<std::size_t> (maxServers, servers.size()));

    for (std::size_t n = 0; n < servers.size(); ++n)
        call->tried[n] = mayReachAnother == call->declinedAt[n];

    tryServers (call);
}

void ChainModel::recordDecayedWork (const Chain& chain)
{
    constexpr double halfLifeS = 10; // As in work_estimate.
    auto& sum = decayedWork[chain.spec->row.name];
    const double kept = std::exp2 (-std::chrono::duration<double> (now - sum.updated).count() / halfLifeS);
    sum.ms = sum.ms * kept + chain.heldMs;
    sum.requests = sum.requests * kept + 1;
    sum.updated = now;
    meanWork[chain.spec->row.name] = sum.ms / sum.requests;
}

void ChainModel::leaveServer (std::size_t server, const Call& call, admission::SampleOutcome outcome)
{
    auto& it = *servers[server];
    const auto admitted = it.gate.finish (now, call.id, outcome, Duration::zero());
    overload::recordValue (it.running, now, it.gate.load().in_flight);

    for (const auto id : admitted)
        startWork (server, waiting.extract (id).mapped());
}

void ChainModel::endChain (const Chain& chain)
{
    overload::recordRequestEnded (daemons[chain.daemon], chain.spec->row.name, now - chain.admitted);
    recordWork (chain);
}

void ChainModel::failChain (const Chain& chain)
{
    ++chain.tally->failed;
    endChain (chain);
}

void ChainModel::endCall (const std::shared_ptr<Call>& call, bool refused)
{
    const auto& chain = call->chain;
    const auto& spec = *chain->spec;
    overload::recordCallEnded (daemons[call->daemon], endService, refused);
    ++ended;
    this->refused += refused ? 1 : 0;

    if (refused)
    {
        failChain (*chain);

        if (spec.isDirect)
            overload::recordReach (daemons[chain->daemon], spec.row.name, endService);
        else
            overload::recordDownstreamFailure (daemons[chain->daemon], now, spec.row.name, endService);

        return;
    }

    if (--chain->callsLeft == 0)
    {
        ++chain->tally->served;
        endChain (*chain);
    }
    else
        at (now + fromMs (spec.delayMs), [this, chain] { beginCall (chain); });
}

void ChainModel::recordWork (const Chain& chain)
{
    auto& work = chainWork[chain.spec->row.name];
    const double kept =
        std::exp2 (-std::chrono::duration<double> (now - work.updated).count() / workHalfLifeS);
    work = { kept * work.ms + chain.heldMs, kept * work.chains + 1, now };

    if (gatesGrantRetries)
        return recordDecayedWork (chain);

    constexpr double sample = 0.05;
    const auto [mean, isNew] = meanWork.try_emplace (chain.spec->row.name, chain.heldMs);
    mean->second += sample * (chain.heldMs - mean->second);
}

void ChainModel::useForecast (double workError)
{
    hasForecast = true;
    workErrorFactor = workError;
    volumesSent.resize (daemons.size());

    for (std::size_t n = 0; n < daemons.size(); ++n)
    {
        daemons[n].forecast.isOn = true;
        at (now + fromMs (draw() * static_cast<double> (forecastPeriod.count())),
            [this, n] { forecast (n); });
    }
}

void ChainModel::cutOff (std::size_t daemonCount, std::size_t serverCount)
{
    daemonsApart = daemonCount;
    serversApart = serverCount;
    cutAt = now;
}

bool ChainModel::isCutNoticed() const
{
    return now - cutAt >= cutNoticed;
}

std::size_t ChainModel::runDaemonFor (std::size_t daemon)
{
    const std::size_t first = isApart (daemon) ? 0 : daemonsApart;
    const std::size_t last = isApart (daemon) ? daemonsApart : daemons.size();
    return first + random() % std::min (runDaemons, last - first);
}

void ChainModel::offerToForecast (std::size_t daemon, const overload::RootRow& row)
{
    auto& own = daemons[daemon];

    if (hasForecast && overload::recordDemand (own.forecast.demand, now, row.name, row.priority) &&
        now - volumesSent[daemon] >= minReportGap)
        sendVolumes (daemon);
}

void ChainModel::sendVolumes (std::size_t daemon)
{
    volumesSent[daemon] = now;
    auto& demand = daemons[daemon].forecast.demand;
    const overload::OfferedReport report{ overload::ownOffered (demand, now),
                                          overload::dueWorks (demand, now, daemons[daemon].ownName) };

    for (std::size_t n = 0; n < daemons.size(); ++n)
    {
        if (n != daemon && isApart (n) == isApart (daemon))
            overload::recordPeerDemand (daemons[n].forecast.demand, now, daemons[daemon].ownName, report);
    }
}

std::vector<overload::ServerSupply> ChainModel::suppliesOf (std::size_t daemon) const
{
    std::vector<overload::ServerSupply> supplies;

    for (std::size_t n = 0; n < servers.size(); ++n)
    {
        const auto limit = servers[n]->gate.load().limit;
        const double busy = 100 * overload::currentMean (servers[n]->running, now) / limit;
        supplies.push_back ({ endService, limit, static_cast<unsigned> (busy),
                              static_cast<unsigned> (1'000 * servers[n]->meanMs), 0, 0, 100, false,
                              reaches (daemon, n) || ! isCutNoticed() });
    }

    return supplies;
}

void ChainModel::forecast (std::size_t daemon)
{
    auto& own = daemons[daemon];
    std::vector<overload::RowWork> rowWork;

    for (std::size_t n = 0; n < daemons.size(); ++n)
    {
        if (isApart (n) != isApart (daemon) && isCutNoticed())
            overload::dropPeerVolumes (own.forecast.demand, daemons[n].ownName);
    }

    for (const auto& [row, it] : chainWork)
        rowWork.push_back ({ row, workErrorFactor * it.ms / std::max (it.chains, 1.0) });

    overload::setOwnWorks (own.forecast.demand, own.ownName, endService, rowWork);
    const bool wasLimited = overload::isLimitedByForecast (own);
    overload::updateForecast (own, now, overload::capacitiesOf (suppliesOf (daemon)));

    if (! wasLimited && overload::isLimitedByForecast (own) && now - volumesSent[daemon] >= minReportGap)
        sendVolumes (daemon);

    at (now + forecastPeriod, [this, daemon] { forecast (daemon); });
}

void ChainModel::report (std::size_t daemon)
{
    double busy = 0;
    double totalSlots = 0;

    for (std::size_t n = 0; n < servers.size(); ++n)
    {
        if (! reaches (daemon, n))
            continue;

        busy += overload::currentMean (servers[n]->running, now);
        totalSlots += servers[n]->gate.load().limit;
    }

    auto& own = daemons[daemon];
    std::vector<overload::RowWork> rowWork;

    for (const auto& [row, ms] : meanWork)
        rowWork.push_back ({ row, ms });

    overload::setOwnRowWork (own, endService, rowWork);

    if (gatesGrantRetries)
    {
        for (std::size_t n = 0; n < servers.size(); ++n)
            tellDecline (daemon, n);

        overload::takeRetryLimitChanges (own, now);
    }

    overload::endPeriod (own, now, { { endService, busy / totalSlots } });
    const auto reports = overload::ownReport (own);

    for (std::size_t n = 0; n < daemons.size(); ++n)
    {
        if (n != daemon && isApart (n) == isApart (daemon))
            overload::recordPeerReport (daemons[n], now, own.ownName, reports);
    }

    if (hasForecast)
        sendVolumes (daemon);

    const Duration period = overload::isUnderPressure (own) ? pressurePeriod : calmPeriod;
    own.period = period;
    at (now + fromMs (static_cast<double> (to_milliseconds (period)) * (0.9 + 0.2 * draw())),
        [this, daemon] { report (daemon); });
}

} // namespace anisehold::model
