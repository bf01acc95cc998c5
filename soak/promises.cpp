#include "soak/promises.hpp"

#include <algorithm>
#include <array>

namespace anisehold::soak
{
namespace
{

constexpr std::array<std::string_view, 13> promiseNames{
    "runs-once",       "refused-never-runs", "answer-is-own",     "nothing-unasked", "right-service",
    "bounded-servers", "drained-is-left",    "answered-in-time",  "recovers",        "stays-alive",
    "tenant-is-set",   "key-is-hidden",      "revoked-is-refused"
};

constexpr unsigned statusOk = 200;
/** Statuses that promise that the request has not run and never will. */
constexpr std::array<unsigned, 4> promisingStatuses{ 408, 421, 429, 503 };

bool promisesNoRun (unsigned status)
{
    return std::find (promisingStatuses.begin(), promisingStatuses.end(), status) != promisingStatuses.end();
}

/** Calls that servers make themselves bear this mark in their id and aren't known in advance. */
bool isNestedCall (const RequestId& id)
{
    return id.value.find (":call-") != std::string::npos;
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
        return;
    }

    const auto it = requests.find (arrival.id);

    if (it == requests.end())
    {
        report (Promise::nothingUnasked, arrival.id.value + " at " + arrival.instance.value);
        return;
    }

    auto& request = it->second;

    if (arrival.target != request.sent.target)
        report (Promise::nothingUnasked, arrival.id.value + " as " + arrival.target);

    if (++request.servers == request.sent.mostServers + 1)
        report (Promise::boundedServers, arrival.id.value);

    if (! arrival.runs)
        return;

    if (arrival.service != request.sent.service)
        report (Promise::rightService, arrival.id.value + " at " + arrival.service);

    checkTenant (request.sent, arrival);

    if (++request.runs == 2 && ! request.sent.mayRepeat)
        report (Promise::runsOnce, arrival.id.value);
}

void PromiseChecker::checkTenant (const SentRequest& sent, const Arrival& arrival)
{
    if (arrival.tenant != sent.tenant)
        report (Promise::tenantIsSet, arrival.id.value + " for \"" + arrival.tenant + "\"");

    const bool isLate = keyTakenAway != TimePoint::max() && sent.at > keyTakenAway + revocation;

    if (sent.usesRevokedKey && isLate)
        report (Promise::revokedIsRefused, arrival.id.value + " at " + arrival.instance.value);
}

void PromiseChecker::checkSuccess (const Request& request, const ReceivedAnswer& answer)
{
    const auto& sent = request.sent;
    const bool own = answer.echoedId == sent.id.value && ! answer.signature.empty() &&
                     answer.body == sent.service + " " + sent.target;

    if (! own)
        report (Promise::answerIsOwn, sent.id.value + " got \"" + answer.body + "\" for " + answer.echoedId);
}

void PromiseChecker::onAnswer (const ReceivedAnswer& answer)
{
    auto& request = requests[answer.id];

    if (answer.status == statusOk)
    {
        ++served;
        checkSuccess (request, answer);
    }

    if (promisesNoRun (answer.status) && ! request.sent.mayRepeat)
        request.refusedWith = answer.status;
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
