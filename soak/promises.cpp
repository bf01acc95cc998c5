#include "soak/promises.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace anisehold::soak
{
namespace
{

constexpr std::array<std::string_view, 16> promiseNames{
    "runs-once",          "refused-never-runs", "answer-is-own",    "nothing-unasked",
    "right-service",      "bounded-servers",    "drained-is-left",  "answered-in-time",
    "recovers",           "stays-alive",        "tenant-is-set",    "key-is-hidden",
    "revoked-is-refused", "limit-is-kept",      "leaving-is-final", "taken-is-answered"
};

constexpr unsigned statusOk = 200;
/** Statuses that promise that the request has not run and never will. */
constexpr std::array<unsigned, 4> promisingStatuses{ 408, 421, 429, 503 };

bool promisesNoRun (unsigned status)
{
    return std::find (promisingStatuses.begin(), promisingStatuses.end(), status) != promisingStatuses.end();
}

/** A limit must be kept from this time after it was first stated. */
constexpr seconds limitNoticeTime{ 3 };
constexpr seconds limitWindow{ 4 };
constexpr double limitFactor = 1.5;
constexpr double limitSlack = 5;
/** A machine must keep a limit from this time after it forwarded the limit. */
constexpr milliseconds limitForwardTime{ 500 };

/** A connection that ends this long after the request was sent has probably been read. */
constexpr milliseconds lossSlack{ 200 };
/** How long after the grace time of a planned stop the machine's requests are checked. */
constexpr seconds stopCheckTime{ 1 };

/** Whether the response is a failure of the machine's own that promises nothing, in place of a server's
    response. */
bool isOwnFailure (const ReceivedAnswer& answer)
{
    constexpr unsigned badGateway = 502;
    constexpr unsigned gatewayTimeout = 504;
    return answer.signature.empty() && (answer.status == badGateway || answer.status == gatewayTimeout);
}

/** Nested calls made by servers have this mark in their id and are not known in advance. */
bool isNestedCall (const RequestId& id)
{
    return id.value.find (":call-") != std::string::npos;
}

/** Returns the machine where a nested call started: the call's id contains the server's id, and that id
    contains the machine. */
std::size_t machineOfNestedCall (const RequestId& id)
{
    constexpr std::string_view mark = ":call-i-";
    return std::strtoul (id.value.c_str() + id.value.rfind (mark) + mark.size(), nullptr, 10);
}

/** Returns the instance that signed the response. */
InstanceId signerOf (const ReceivedAnswer& answer)
{
    return InstanceId (answer.signature.substr (0, answer.signature.find ('.')));
}

} // namespace

std::string_view nameOf (Promise promise)
{
    return promiseNames.at (static_cast<std::size_t> (promise));
}

void PromiseChecker::report (Promise promise, std::string detail)
{
    found.push_back ({ promise, std::move (detail) });
}

void PromiseChecker::onSent (const SentRequest& sent)
{
    requests[sent.id].sent = sent;
}

void PromiseChecker::onArrival (const Arrival& arrival)
{
    const auto leave = left.find (arrival.instance);

    if (leave != left.end() && arrival.at > leave->second + drainTimeout)
        report (Promise::drainedIsLeft, arrival.id.value + " at " + arrival.instance.value);

    if (arrival.showsKey)
        report (Promise::keyIsHidden, arrival.id.value + " at " + arrival.instance.value);

    if (isNestedCall (arrival.id))
    {
        checkTenant ({}, arrival);
        checkLimit (machineOfNestedCall (arrival.id), arrival);
        return;
    }

    const auto it = requests.find (arrival.id);

    if (it == requests.end())
    {
        report (Promise::nothingUnasked, arrival.id.value + " at " + arrival.instance.value);
        return;
    }

    auto& request = it->second;
    checkLimit (request.sent.machine, arrival);
    checkLeaving (request.sent, arrival);

    if (arrival.target != request.sent.target)
        report (Promise::nothingUnasked, arrival.id.value + " as " + arrival.target);

    const bool isNewServer = request.servers.insert (arrival.instance).second;
    const bool hasTooManyServers = isNewServer && request.servers.size() == request.sent.maxServers + 1;

    if (++request.arrivals == request.sent.maxArrivals + 1 || hasTooManyServers)
        report (Promise::boundedServers, arrival.id.value);

    if (! arrival.runs)
        return;

    if (arrival.service != request.sent.service)
        report (Promise::rightService, arrival.id.value + " at " + arrival.service);

    checkTenant (request.sent, arrival);

    ++request.runs;

    if (request.runs == 2 && ! request.sent.mayRepeat)
        report (Promise::runsOnce, arrival.id.value);

    if (request.runs == request.sent.maxServers + 1 && request.arrivals <= request.sent.maxArrivals)
        report (Promise::boundedServers, arrival.id.value + " ran too often");
}

void PromiseChecker::checkTenant (const SentRequest& sent, const Arrival& arrival)
{
    if (arrival.tenant != sent.tenant)
        report (Promise::tenantIsSet, arrival.id.value + " for \"" + arrival.tenant + "\"");

    const bool isLate = keyRevokedAt != TimePoint::max() && sent.at > keyRevokedAt + revocation;

    if (sent.usesRevokedKey && isLate)
        report (Promise::revokedIsRefused, arrival.id.value + " at " + arrival.instance.value);
}

void PromiseChecker::checkSuccess (const Request& request, const ReceivedAnswer& answer)
{
    const auto& sent = request.sent;
    const bool isOwn = answer.echoedId == sent.id.value && ! answer.signature.empty() &&
                       answer.body == sent.service + " " + sent.target;

    if (! isOwn)
        report (Promise::answerIsOwn, sent.id.value + " got \"" + answer.body + "\" for " + answer.echoedId);
}

void PromiseChecker::onAnswer (const ReceivedAnswer& answer)
{
    auto& request = requests[answer.id];
    recordNotices (request, answer);

    if (answer.status == statusOk)
    {
        ++served;
        checkSuccess (request, answer);
    }

    checkTaken (request, answer);

    if (promisesNoRun (answer.status) && ! request.sent.mayRepeat)
        request.refusedWith = answer.status;
}

void PromiseChecker::recordNotices (const Request& request, const ReceivedAnswer& answer)
{
    const auto machine = request.sent.machine;

    if (answer.signature.empty() || answer.at < disturbedUntil[machine])
        return;

    const Pair pair{ machine, signerOf (answer) };

    if (answer.namesLimit)
        limitForwardedAt.emplace (pair, answer.at);

    if (answer.announcesLeaving)
        leavingForwardedAt.emplace (pair, answer.at);
}

void PromiseChecker::checkLimit (std::size_t machine, const Arrival& arrival)
{
    const auto named = limits.find (arrival.instance);
    const auto forwarded = limitForwardedAt.find ({ machine, arrival.instance });

    if (named == limits.end() || forwarded == limitForwardedAt.end())
        return;

    auto& limit = named->second;
    const bool isInForce = arrival.at >= limit.from + limitNoticeTime && arrival.at < limit.until;

    if (! isInForce || arrival.at < forwarded->second + limitForwardTime)
        return;

    limit.arrivals.push_back (arrival.at);

    while (limit.arrivals.front() <= arrival.at - limitWindow)
        limit.arrivals.pop_front();

    const auto allowed = limitFactor * limit.perS * static_cast<double> (limitWindow.count()) + limitSlack;
    const auto got = static_cast<double> (limit.arrivals.size());

    if (got <= allowed || limit.isBroken)
        return;

    limit.isBroken = true;
    report (Promise::limitIsKept, arrival.instance.value + " with " + std::to_string (limit.perS) +
                                      " a second got more than " + std::to_string (allowed) + " in 4 s");
}

void PromiseChecker::checkLeaving (const SentRequest& sent, const Arrival& arrival)
{
    const auto forwarded = leavingForwardedAt.find ({ sent.machine, arrival.instance });

    if (forwarded != leavingForwardedAt.end() && sent.at > forwarded->second + drainTimeout)
        report (Promise::leavingIsFinal, sent.id.value + " at " + arrival.instance.value);
}

void PromiseChecker::onLimitNamed (const InstanceId& instance, double perS, TimePoint from, TimePoint until)
{
    limits[instance] = { perS, from, until, {}, false };
}

void PromiseChecker::onMachineDisturbed (std::size_t machine, TimePoint until, bool isProcess)
{
    const auto isOfMachine = [&] (const auto& it) { return it.first.first == machine; };
    disturbedUntil[machine] = std::max (disturbedUntil[machine], until);
    std::erase_if (limitForwardedAt, isOfMachine);

    if (isProcess)
        std::erase_if (leavingForwardedAt, isOfMachine);
}

void PromiseChecker::onStopPlanned (std::size_t machine, TimePoint at, Duration grace)
{
    stops[machine] = { at, grace };
}

void PromiseChecker::checkTaken (const Request& request, const ReceivedAnswer& answer)
{
    const auto& sent = request.sent;
    const auto found = stops.find (sent.machine);

    if (found == stops.end())
        return;

    const auto& [stoppedAt, grace] = found->second;
    const bool isDuringStop = answer.at >= stoppedAt && answer.at <= stoppedAt + grace + stopCheckTime;
    const bool isBrokenOff = answer.status == 0 || isOwnFailure (answer);
    const bool isTimeUp = answer.at - sent.at >= sent.timeLeft;

    if (! isDuringStop || ! isBrokenOff || isTimeUp)
        return;

    const bool wasRead = request.runs > 0 || (answer.status == 0 && answer.at > sent.at + lossSlack);
    // A server that is still at work in the last sixth of the grace time excuses the loss of an early
    // request.
    const bool isExcused =
        sent.at <= stoppedAt + grace / 2 && answer.at >= stoppedAt + grace * 5 / 6 && request.runs > 0;

    if (wasRead && ! isExcused)
        report (Promise::takenIsAnswered,
                sent.id.value + " sent " + std::to_string (to_milliseconds (sent.at - stoppedAt)) +
                    " ms after the signal, broken off after " +
                    std::to_string (to_milliseconds (answer.at - stoppedAt)) + " ms");
}

void PromiseChecker::onLeaveAcknowledged (const InstanceId& instance, TimePoint at)
{
    left.emplace (instance, at);
}

void PromiseChecker::finish()
{
    for (const auto& [id, request] : requests)
    {
        if (request.refusedWith == 0 || request.runs == 0)
            continue;

        report (Promise::refusedNeverRuns, id.value + " after " + std::to_string (request.refusedWith));
    }
}

} // namespace anisehold::soak
