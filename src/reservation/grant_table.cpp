#include "reservation/grant_table.hpp"

#include <algorithm>

namespace anisehold::reservation
{
namespace
{

using admission::GateVerdict;
using admission::ServerGate;

std::uint64_t unusedNumber (const GrantTable& table, const Draw& draw)
{
    auto number = draw();

    while (number == 0 || table.places.contains (number))
        number = draw();

    return number;
}

void grant (Place& place, TimePoint now)
{
    place.isGranted = true;
    place.endsAt = now + grantValidity;
}

/** Removes the place from the table and from the gate, and grants its slot to the next ones. */
void end (ServerGate& gate, GrantTable& table, TimePoint now, std::uint64_t number, Ended& ended)
{
    const auto place = table.places.at (number);
    table.places.erase (number);
    table.numberOfRun.erase (place.run);

    if (! place.isGranted)
    {
        ++ended.places;
        gate.abandon (place.run);
        return;
    }

    ++ended.grants;

    // A place that has been admitted here may be the next one to end.
    for (const auto run : gate.free_reserved (now, place.run))
    {
        onAdmitted (table, now, run);
        ended.admitted.push_back (run);
    }
}

bool isOver (const Place& place, TimePoint now)
{
    return ! (place.isAwaited && ! place.isGranted) && now >= place.endsAt;
}

} // namespace

ReserveDecision reserve (ServerGate& gate, GrantTable& table, TimePoint now, admission::GateCall call,
                         const Draw& draw)
{
    call.is_reservation = true;
    const auto arrival = gate.arrive (now, call);
    ReserveDecision decision;
    decision.retryAfter = arrival.retry_after;
    decision.evicted = arrival.evicted;

    if (arrival.verdict == GateVerdict::kRefused)
    {
        decision.verdict = ReserveVerdict::refused;
        return decision;
    }

    Place place;
    place.run = call.id;
    place.isAwaited = true;
    place.retryAfter = arrival.retry_after;
    place.waitEnds = std::min (call.latest_start, arrival.give_up_at);

    if (arrival.verdict == GateVerdict::kAdmitted)
        grant (place, now);

    decision.verdict = place.isGranted ? ReserveVerdict::granted : ReserveVerdict::waiting;
    decision.number = unusedNumber (table, draw);
    decision.run = call.id;
    decision.waitEnds = place.waitEnds;
    table.places.emplace (decision.number, place);
    table.numberOfRun.emplace (call.id, decision.number);
    return decision;
}

ReserveDecision renew (GrantTable& table, TimePoint now, std::uint64_t number)
{
    ReserveDecision decision;
    const auto found = table.places.find (number);

    // A place has one message at a time; a second one is not from the caller that holds the place.
    if (found == table.places.end() || isOver (found->second, now) || found->second.isAwaited)
        return decision;

    auto& place = found->second;
    place.isAwaited = true;
    decision.verdict = place.isGranted ? ReserveVerdict::granted : ReserveVerdict::waiting;
    decision.number = number;
    decision.run = place.run;
    decision.retryAfter = place.retryAfter;
    decision.waitEnds = place.waitEnds;
    return decision;
}

void onReplied (GrantTable& table, TimePoint now, std::uint64_t number)
{
    const auto found = table.places.find (number);

    if (found == table.places.end() || found->second.isGranted)
        return;

    found->second.isAwaited = false;
    found->second.endsAt = now + renewalTime;
}

void onAdmitted (GrantTable& table, TimePoint now, std::uint64_t run)
{
    const auto found = table.numberOfRun.find (run);

    if (found != table.numberOfRun.end() && ! table.places.at (found->second).isGranted)
        grant (table.places.at (found->second), now);
}

void onEvicted (GrantTable& table, std::uint64_t run)
{
    const auto found = table.numberOfRun.find (run);

    if (found == table.numberOfRun.end())
        return;

    table.places.erase (found->second);
    table.numberOfRun.erase (found);
}

std::optional<admission::CommitVerdict> commit (ServerGate& gate, GrantTable& table, TimePoint now,
                                                std::uint64_t number, std::uint64_t run)
{
    const auto found = table.places.find (number);

    if (found == table.places.end() || ! found->second.isGranted || isOver (found->second, now))
        return std::nullopt;

    const auto reserved = found->second.run;
    table.numberOfRun.erase (reserved);
    table.places.erase (found);
    return gate.commit (now, reserved, run);
}

Ended withdraw (ServerGate& gate, GrantTable& table, TimePoint now, std::uint64_t number)
{
    Ended ended;

    if (table.places.contains (number))
        end (gate, table, now, number, ended);

    return ended;
}

Ended expire (ServerGate& gate, GrantTable& table, TimePoint now)
{
    std::vector<std::uint64_t> over;

    for (const auto& [number, place] : table.places)
        if (isOver (place, now))
            over.push_back (number);

    // Places first: the slots of ended grants must not go to places that end, too.
    std::partition (over.begin(), over.end(),
                    [&] (auto number) { return ! table.places.at (number).isGranted; });
    Ended ended;

    for (const auto number : over)
        end (gate, table, now, number, ended);

    return ended;
}

std::optional<TimePoint> nextExpiry (const GrantTable& table)
{
    std::optional<TimePoint> next;

    for (const auto& [number, place] : table.places)
        if (place.isGranted || ! place.isAwaited)
            next = std::min (next.value_or (place.endsAt), place.endsAt);

    return next;
}

} // namespace anisehold::reservation
