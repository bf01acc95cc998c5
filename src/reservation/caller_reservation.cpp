#include "reservation/caller_reservation.hpp"

namespace anisehold::reservation
{

bool needsReservation (const RequestFacts& facts)
{
    if (facts.isLocal || facts.isSuspect)
        return false;

    const bool isNearlyFull = facts.queued > 0 || facts.inFlight + facts.limit / fullDivisor >= facts.limit;
    return facts.mustNotRunTwice || isNearlyFull;
}

CallerReservation beginReservation (TimePoint now, Duration maxWait)
{
    CallerReservation state;
    state.waitEnds = now + maxWait;
    return state;
}

TimePoint replyDeadline (TimePoint now)
{
    return now + silenceTimeout;
}

void onGranted (CallerReservation& state, TimePoint now, std::uint64_t grant, Duration validity)
{
    state.phase = CallerPhase::granted;
    state.grant = grant;
    state.grantEnds = now + validity;
}

void onWaiting (CallerReservation& state, TimePoint now, std::uint64_t ticket)
{
    state.ticket = ticket;

    if (now >= state.waitEnds || ticket == 0)
        state.phase = CallerPhase::refused;
}

void onRefused (CallerReservation& state)
{
    state.phase = CallerPhase::refused;
}

void onSilence (CallerReservation& state)
{
    state.phase = CallerPhase::refused;
    state.gateWasSilent = true;
}

bool tryCommit (CallerReservation& state, TimePoint now)
{
    const bool isValid = state.phase == CallerPhase::granted && (state.grant == 0 || now < state.grantEnds);
    state.phase = isValid ? CallerPhase::committed : CallerPhase::refused;
    return isValid;
}

void onSettled (CallerReservation& state)
{
    state.phase = CallerPhase::settled;
}

bool mayHaveRun (const CallerReservation& state)
{
    return state.phase == CallerPhase::committed;
}

} // namespace anisehold::reservation
