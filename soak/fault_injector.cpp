#include "soak/fault_injector.hpp"

#include <algorithm>
#include <array>
#include <boost/fiber/operations.hpp>

#include "net/event_loop.hpp"
#include "tests/support/fleet.hpp"

namespace anisehold::soak
{
namespace
{

using testing::Fleet;

constexpr milliseconds linkDelay{ 120 };
constexpr double datagramLossShare = 0.5;
/** Interval between the resets of a link. */
constexpr milliseconds resetPeriod{ 100 };
/** Interval between two signals, or two configurations, of a series. */
constexpr milliseconds seriesPeriod{ 300 };
constexpr double refusedShare = 0.5;
// Pauses of a process that stutters, and the longest time that it runs between two of them.
constexpr milliseconds minPause{ 10 };
constexpr milliseconds maxPause{ 100 };
constexpr milliseconds maxRunTime{ 300 };

/** A rate limit as sent by the server, and its value. */
struct ServerLimit
{
    const char* text;
    double perS;
};

constexpr std::array<ServerLimit, 4> serverLimits{
    { { "3", 3 }, { "0.5", 0.5 }, { "11.5", 11.5 }, { "0", 0 } }
};

bool affectsLinks (FaultKind kind)
{
    return kind >= FaultKind::linksDelayed && kind <= FaultKind::storeLinkReset;
}

bool affectsServer (FaultKind kind)
{
    return (kind >= FaultKind::serverDeclines && kind <= FaultKind::serverReplaced) ||
           kind == FaultKind::serverLimited || kind == FaultKind::serverLeaving ||
           kind == FaultKind::refusalsRepeated || kind == FaultKind::refusalsDoubled;
}

} // namespace

FaultInjector::FaultInjector (testing::SidecarFleet& fleetToUse, PromiseChecker& checkerToUse,
                              const InjectorOptions& optionsToUse)
    : fleet (fleetToUse),
      checker (checkerToUse),
      options (optionsToUse)
{
}

bool FaultInjector::startLinks()
{
    for (std::size_t n = 0; n < fleet.size(); ++n)
    {
        auto set = startMachineLinks (fleet, n);

        if (! set)
            return false;

        links.push_back (std::move (*set));
    }

    return true;
}

void FaultInjector::start (const std::vector<Fault>& plan)
{
    loadStarted = TimePoint::clock::now();

    for (const auto& fault : plan)
        net::EventLoop::spawn ([this, fault] { injectFault (fault); });
}

/** Injects one fault and removes it after its duration. */
void FaultInjector::injectFault (const Fault& fault)
{
    boost::this_fiber::sleep_until (loadStarted + fault.at);
    const auto machine = fault.machine.value;
    const auto ends = loadStarted + fault.at + fault.duration;

    if (fault.kind == FaultKind::processesStutter)
    {
        stutter (ends);
        return;
    }

    disturbedUntil[machine] = std::max (disturbedUntil[machine], ends + options.settleTime);

    if (affectsProcess (fault.kind) || affectsLinks (fault.kind))
        checker.onMachineDisturbed (machine, ends, affectsProcess (fault.kind));

    if (affectsProcess (fault.kind))
        injectProcessFault (fault.kind, machine, ends);
    else if (affectsLinks (fault.kind))
        injectLinkFault (fault.kind, machine, ends);
    else if (affectsServer (fault.kind))
        injectServerFault (fault.kind, machine, ends);
    else
        injectStoreFault (fault.kind, ends);
}

bool FaultInjector::isDisturbed (std::size_t machine) const
{
    const auto it = disturbedUntil.find (machine);
    return it != disturbedUntil.end() && TimePoint::clock::now() < it->second;
}

void FaultInjector::injectProcessFault (FaultKind kind, std::size_t machine, TimePoint ends)
{
    if (kind == FaultKind::processPaused)
    {
        fleet.freeze (machine);
        boost::this_fiber::sleep_until (ends);
        fleet.thaw (machine);
        return;
    }

    if (kind == FaultKind::processSignalled)
    {
        signalInSeries (machine, ends);
        return;
    }

    if (kind == FaultKind::processKilled)
        fleet.kill (machine);
    else
        fleet.terminate (machine);

    boost::this_fiber::sleep_until (ends);

    if (! fleet.wait_for_exit (machine, seconds (5)))
    {
        checker.report (Promise::staysAlive, "machine-" + std::to_string (machine) + " did not stop");
        fleet.kill (machine);
    }

    fleet.start_sidecar (machine);
}

void FaultInjector::stutter (TimePoint ends)
{
    for (std::size_t n = 0; n < fleet.size(); ++n)
    {
        disturbedUntil[n] = std::max (disturbedUntil[n], ends + options.settleTime);
        checker.onMachineDisturbed (n, ends, true);
        net::EventLoop::spawn ([this, n, ends] { pauseOften (n, ends); });
    }
}

void FaultInjector::pauseOften (std::size_t machine, TimePoint ends)
{
    const auto draw = [this] (milliseconds min, milliseconds max)
    { return milliseconds (std::uniform_int_distribution<long long> (min.count(), max.count()) (random)); };

    while (TimePoint::clock::now() < ends)
    {
        boost::this_fiber::sleep_for (draw (milliseconds (0), maxRunTime));

        if (! fleet.is_running (machine))
            continue;

        fleet.freeze (machine);
        boost::this_fiber::sleep_for (draw (minPause, maxPause));

        if (fleet.is_running (machine))
            fleet.thaw (machine);
    }
}

void FaultInjector::signalInSeries (std::size_t machine, TimePoint ends)
{
    for (std::size_t n = 0; TimePoint::clock::now() < ends; ++n)
    {
        fleet.reload (machine);

        if (n == 1 || n == 2)
        {
            fleet.kill (machine);
            fleet.start_sidecar (machine);
        }

        boost::this_fiber::sleep_for (seriesPeriod);
    }
}

void FaultInjector::injectLinkFault (FaultKind kind, std::size_t machine, TimePoint ends)
{
    auto& set = links[machine];
    LinkBehaviour faulty;
    faulty.delay = kind == FaultKind::linksDelayed ? linkDelay : milliseconds (0);
    faulty.resets = kind == FaultKind::linksReset || kind == FaultKind::storeLinkReset;
    faulty.toTargetSilent = kind == FaultKind::linksSilent || kind == FaultKind::inboundSilent ||
                            kind == FaultKind::storeLinkSilent;
    faulty.toCallerSilent = kind == FaultKind::linksSilent || kind == FaultKind::answersSilent ||
                            kind == FaultKind::storeLinkSilent;
    faulty.datagramsLost = kind == FaultKind::datagramsLost ? datagramLossShare : 0;
    const bool onlyStore = kind == FaultKind::storeLinkSilent || kind == FaultKind::storeLinkReset;
    const bool onlyPeers = kind == FaultKind::inboundSilent || kind == FaultKind::answersSilent;

    const auto apply = [&] (const LinkBehaviour& behaviour)
    {
        if (! onlyPeers)
            set.store->setBehaviour (behaviour);

        if (onlyStore)
            return;

        set.hops->setBehaviour (behaviour);

        if (kind != FaultKind::answersSilent)
            set.gossip->setBehaviour (behaviour);
    };

    do
    {
        apply (faulty);
        boost::this_fiber::sleep_until (
            faulty.resets ? std::min<TimePoint> (ends, TimePoint::clock::now() + resetPeriod) : ends);
    } while (TimePoint::clock::now() < ends);

    apply ({});
}

void FaultInjector::injectServerFault (FaultKind kind, std::size_t machine, TimePoint ends)
{
    if (kind == FaultKind::serverReplaced)
    {
        replaceServer (machine, ends);
        return;
    }

    if (kind == FaultKind::serverLimited)
    {
        limitServer (machine, ends);
        return;
    }

    if (kind == FaultKind::serverLeaving)
    {
        leaveByResponses (machine, ends);
        return;
    }

    if (kind == FaultKind::refusalsRepeated || kind == FaultKind::refusalsDoubled)
    {
        repeatRefusals (kind == FaultKind::refusalsRepeated ? RefusalCopy::beforeNextResponse
                                                            : RefusalCopy::soonAfter,
                        ends);
        return;
    }

    auto& faults = fleet.machine (machine).server->faults;
    auto& flag = kind == FaultKind::serverDeclines       ? faults.declines
                 : kind == FaultKind::serverLosesAnswers ? faults.loses_answers
                 : kind == FaultKind::serverUnsigned     ? faults.forgets_signature
                 : kind == FaultKind::serverConfused     ? faults.answers_another
                                                         : faults.hangs;
    flag = true;
    boost::this_fiber::sleep_until (ends);
    flag = false;
}

void FaultInjector::replaceServer (std::size_t machine, TimePoint ends)
{
    auto& server = *fleet.machine (machine).server;
    const auto before = server.instance();

    if (server.drain())
        checker.onLeaveAcknowledged (InstanceId (before), TimePoint::clock::now());

    boost::this_fiber::sleep_until (
        std::max<TimePoint> (ends, TimePoint::clock::now() + 2 * options.drainTimeout));
    server.replace ("i-" + std::to_string (machine) + "-" + std::to_string (++replacements));
}

void FaultInjector::limitServer (std::size_t machine, TimePoint ends)
{
    auto& server = *fleet.machine (machine).server;
    const auto& limit = serverLimits.at (machine % serverLimits.size());
    checker.onLimitNamed (InstanceId (server.instance()), limit.perS, TimePoint::clock::now(), ends);
    server.faults.rate_limit = limit.text;
    boost::this_fiber::sleep_until (ends);
    server.faults.rate_limit.clear();
}

void FaultInjector::leaveByResponses (std::size_t machine, TimePoint ends)
{
    auto& server = *fleet.machine (machine).server;
    server.faults.says_leaving = true;
    boost::this_fiber::sleep_until (ends);
    server.replace ("i-" + std::to_string (machine) + "-" + std::to_string (++replacements));
    server.faults.says_leaving = false;
}

void FaultInjector::repeatRefusals (RefusalCopy copy, TimePoint ends)
{
    const auto apply = [this, copy] (double share)
    {
        for (std::size_t n = 0; n < fleet.size(); ++n)
        {
            if (fleet.machine (n).service != options.atMostOnceService)
                continue;

            fleet.machine (n).server->faults.declined_share = share;
            LinkBehaviour behaviour;
            behaviour.refusalCopy = share > 0 ? copy : RefusalCopy::none;
            links[n].server->setBehaviour (behaviour);
        }
    };

    apply (refusedShare);
    boost::this_fiber::sleep_until (ends);
    apply (0);
}

void FaultInjector::changeConfiguration()
{
    fleet.configure (options.configuration (++version));
}

void FaultInjector::injectStoreFault (FaultKind kind, TimePoint ends)
{
    auto& store = fleet.store();

    if (kind == FaultKind::storeForgets)
        store.forget_history();
    else if (kind == FaultKind::leasesEnd)
        store.end_leases();
    else if (kind == FaultKind::configurationChanged)
        changeConfiguration();

    while (kind == FaultKind::configurationsInSeries && TimePoint::clock::now() < ends)
    {
        changeConfiguration();
        boost::this_fiber::sleep_for (seriesPeriod);
    }

    auto& flag = kind == FaultKind::storeLosesAnswers ? store.faults.loses_answers
                 : kind == FaultKind::storeSilent     ? store.faults.is_silent
                                                      : store.faults.refuses;
    const bool isContinuous = kind == FaultKind::storeRefuses || kind == FaultKind::storeLosesAnswers ||
                              kind == FaultKind::storeSilent;

    if (! isContinuous)
        return;

    flag = true;
    boost::this_fiber::sleep_until (ends);
    flag = false;
}

} // namespace anisehold::soak
