#include "chain_model.hpp"

#include <algorithm>
#include <cmath>

#include "admission/policy/knee_limit.hpp"

namespace anisehold::model
{
namespace
{

constexpr const char* endService = "end";
constexpr milliseconds calmPeriod{ 1'000 };
constexpr milliseconds pressurePeriod{ 400 };
/** As the sidecar's gates have it. */
constexpr double queuePerLimit = 1.5;
/** Bounds of retries, as on the recorded deployment, and most servers that one call may reach. */
const retry::WindowBudgetTerms budgetTerms{ 0.2, 49, milliseconds (10'000) };
constexpr unsigned maxServers = 3;
/** Time in which a server declines. */
constexpr milliseconds declineTime{ 1 };
/** Machines on which the servers above stand. */
constexpr std::size_t runDaemons = 3;
/** Longest time of a call; far beyond all waits here. */
constexpr milliseconds callTime{ 700 };

Duration fromMs (double ms)
{
    return std::chrono::duration_cast<Duration> (std::chrono::duration<double, std::milli> (ms));
}

} // namespace

ChainModel::ChainModel (std::vector<RowTerms> rowTerms, std::vector<ServerTerms> serverTerms,
                        std::size_t daemonCount, unsigned seed)
    : rows (std::move (rowTerms)),
      daemons (daemonCount),
      random (seed)
{
    admission::GateOptions options;
    options.queue_per_limit = queuePerLimit;

    for (const auto& terms : serverTerms)
        servers.push_back (std::make_unique<Server> (
            Server{ terms, { std::make_unique<admission::KneeLimit> (terms.slots), options }, {} }));

    for (std::size_t n = 0; n < daemons.size(); ++n)
    {
        daemons[n].ownName = "d" + std::to_string (n);
        budgets.emplace_back (budgetTerms, now - budgetTerms.window);
        at (now + fromMs (draw() * 1'000), [this, n] { report (n); });
    }

    for (const auto& terms : rows)
    {
        tallies[terms.row.name] = std::make_shared<RowTally>();
        sendRequests (terms);
    }
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
    std::map<std::string, RowTally> taken;

    for (auto& [name, tally] : tallies)
    {
        taken[name] = *tally;
        tally = std::make_shared<RowTally>();
    }

    return taken;
}

void ChainModel::at (TimePoint time, std::function<void()> action)
{
    events.push ({ time, ++lastOrder, std::move (action) });
}

void ChainModel::sendRequests (const RowTerms& terms)
{
    const double pause = -std::log (1 - draw()) / terms.perSecond;
    at (now + fromMs (1'000 * pause),
        [this, &terms]
        {
            beginRequest (terms);
            sendRequests (terms);
        });
}

void ChainModel::beginRequest (const RowTerms& terms)
{
    const auto chain = std::make_shared<Chain>();
    chain->terms = &terms;
    chain->daemon = anyDaemon();
    chain->callsLeft = terms.calls;
    chain->tally = tallies[terms.row.name];
    ++chain->tally->sent;
    auto& limit = daemons[chain->daemon];
    overload::recordOffered (limit, now, terms.row);

    if (refusesEarly && draw() < overload::refusedShare (limit, terms.row))
        ++chain->tally->refusedEarly;
    else if (terms.calls == 0)
        ++chain->tally->served;
    else
    {
        chain->admitted = now;
        overload::recordRequestStarted (limit, terms.row.name);
        at (now + fromMs (terms.betweenMs), [this, chain] { beginCall (chain); });
    }
}

void ChainModel::beginCall (const std::shared_ptr<Chain>& chain)
{
    const auto call = std::make_shared<Call>();
    call->chain = chain;
    const auto& terms = *chain->terms;

    if ((terms.calls - chain->callsLeft) % terms.callsPerRun == 0)
        chain->runDaemon = terms.isDirect ? chain->daemon : random() % std::min (runDaemons, daemons.size());

    call->daemon = chain->runDaemon;
    budgets[call->daemon].on_request (now, endService);
    call->id = ++lastCall;
    call->tried.resize (servers.size());
    call->waitEnds = now + fromMs (chain->terms->maxWaitMs);
    tryServers (call);
}

std::size_t ChainModel::leastFilled (const Call& call) const
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
        const auto best = leastFilled (*call);

        if (best == servers.size() || now > call->waitEnds)
            return endCall (call, true);

        call->tried[best] = true;
        admission::GateCall gateCall;
        gateCall.id = call->id;
        gateCall.priority = call->chain->terms->callPriority;
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

    if (draw() < it.terms.declined)
        return at (now + declineTime, [this, server, call] { endDeclined (server, call); });

    const bool isBeyondKnee = inFlight > it.terms.kneeShare * it.terms.slots;
    const double scatter = 0.5 + draw();
    const double workMs =
        call->chain->terms->workMs * scatter * it.terms.slowness * (isBeyondKnee ? it.terms.kneeFactor : 1);
    call->began = now;
    at (now + fromMs (workMs), [this, server, call] { endWork (server, call); });
}

void ChainModel::endWork (std::size_t server, const std::shared_ptr<Call>& call)
{
    ++completed;
    call->chain->heldMs += std::chrono::duration<double, std::milli> (now - call->began).count();
    leaveServer (server, *call, admission::SampleOutcome::kCompleted);
    endCall (call, false);
}

void ChainModel::endDeclined (std::size_t server, const std::shared_ptr<Call>& call)
{
    leaveServer (server, *call, admission::SampleOutcome::kShed);
    const bool mayRepeat = ++call->reached < std::min<std::size_t> (maxServers, servers.size());

    if (mayRepeat &&
        budgets[call->daemon].try_retry (now, endService, daemons.size(), retry::RetryReason::kNoAnswer))
        return tryServers (call);

    overload::recordCallEnded (daemons[call->daemon], endService, false);
    failChain (*call->chain);
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
    overload::recordRequestEnded (daemons[chain.daemon], chain.terms->row.name, now - chain.admitted);
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
    const auto& terms = *chain->terms;
    overload::recordCallEnded (daemons[call->daemon], endService, refused);

    if (refused)
    {
        failChain (*chain);

        if (terms.isDirect)
            overload::recordReach (daemons[chain->daemon], terms.row.name, endService);
        else
            overload::recordDownstreamFailure (daemons[chain->daemon], now, terms.row.name, endService);

        return;
    }

    if (--chain->callsLeft == 0)
    {
        ++chain->tally->served;
        endChain (*chain);
    }
    else
        at (now + fromMs (terms.betweenMs), [this, chain] { beginCall (chain); });
}

void ChainModel::recordWork (const Chain& chain)
{
    constexpr double sample = 0.05;
    const auto [mean, isNew] = works.try_emplace (chain.terms->row.name, chain.heldMs);
    mean->second += sample * (chain.heldMs - mean->second);
}

void ChainModel::report (std::size_t daemon)
{
    double taken = 0;
    double places = 0;

    for (const auto& it : servers)
    {
        taken += overload::currentMean (it->running, now);
        places += it->gate.load().limit;
    }

    auto& own = daemons[daemon];
    std::vector<overload::RowWork> ownRowWork;

    for (const auto& [row, ms] : works)
        ownRowWork.push_back ({ row, ms });

    overload::setOwnRowWork (own, endService, ownRowWork);
    overload::endPeriod (own, now, { { endService, taken / places } });
    const auto reports = overload::ownReport (own);

    for (auto& it : daemons)
    {
        if (it.ownName != own.ownName)
            overload::recordPeerReport (it, now, own.ownName, reports);
    }

    const Duration period = overload::isUnderPressure (own) ? pressurePeriod : calmPeriod;
    own.period = period;
    at (now + fromMs (static_cast<double> (to_milliseconds (period)) * (0.9 + 0.2 * draw())),
        [this, daemon] { report (daemon); });
}

} // namespace anisehold::model
