#include "overload/work_estimate.hpp"

#include <cmath>

#include "overload/pressure_report.hpp"

namespace anisehold::overload
{
namespace
{

/** Half-life of an observation, in seconds. Far longer than a request, because under overload the chains
    that break off at their first call make few calls. */
constexpr double halfLifeS = 10;
/** Minimum number of finished requests before a row is estimated. */
constexpr double minEnded = 5;
/** Prior for each pair of rows: the number of calls, and of seconds of slot time, assumed to have been
    observed. Gives new rows an initial estimate and is soon outweighed. */
constexpr double priorCalls = 0.5;
constexpr double priorSlotS = 0.5;
/** A row expires when none of its requests runs and its decayed count of finished requests is below this. */
constexpr double minRetainedCount = 0.01;

/** Applies elapsed slot time and decay up to `now`. */
void advance (WorkEstimate& work, TimePoint now)
{
    const double elapsedS = std::chrono::duration<double> (now - work.updated).count();
    const double kept = std::exp2 (-elapsedS / halfLifeS);
    const bool isFirst = work.updated == TimePoint{};
    work.updated = now;

    if (isFirst || elapsedS <= 0)
        return;

    for (auto& [name, it] : work.rows)
    {
        it.slotS = it.slotS * kept + it.inFlight * elapsedS / work.slowness;
        it.ended *= kept;

        for (auto& [called, count] : it.calls)
            count *= kept;
    }

    std::erase_if (work.rows, [] (const auto& it)
                   { return it.second.inFlight == 0 && it.second.ended < minRetainedCount; });
}

/** Returns the calls of row `called` per second of the row's slot time. */
double callRate (const RowRuns& row, const std::string& called)
{
    const auto found = row.calls.find (called);
    const double count = found == row.calls.end() ? 0 : found->second;
    return (count + priorCalls) / (row.slotS + priorSlotS);
}

} // namespace

void recordRunStarted (WorkEstimate& work, TimePoint now, const std::string& row)
{
    advance (work, now);
    ++work.rows[row].inFlight;
}

void recordRunEnded (WorkEstimate& work, TimePoint now, const std::string& row)
{
    advance (work, now);
    auto& it = work.rows[row];
    it.inFlight -= it.inFlight > 0 ? 1 : 0;
    it.ended += 1;
}

void recordRunDeclined (WorkEstimate& work, TimePoint now, const std::string& row)
{
    advance (work, now);
    auto& it = work.rows[row];
    it.inFlight -= it.inFlight > 0 ? 1 : 0;
}

void recordCallMade (WorkEstimate& work, TimePoint now, const std::string& called, const std::string& parent)
{
    advance (work, now);
    const auto exact = parent.empty() ? work.rows.end() : work.rows.find (parent);

    if (exact != work.rows.end())
    {
        exact->second.calls[called] += 1;
        return;
    }

    double total = 0;

    for (const auto& [name, it] : work.rows)
        total += it.inFlight * callRate (it, called);

    if (total <= 0)
        return;

    for (auto& [name, it] : work.rows)
    {
        if (it.inFlight > 0)
            it.calls[called] += it.inFlight * callRate (it, called) / total;
    }
}

double callsPerRun (const WorkEstimate& work, const std::string& row, const std::string& called)
{
    const auto found = work.rows.find (row);

    if (found == work.rows.end() || found->second.ended < minEnded)
        return 0;

    const auto count = found->second.calls.find (called);
    return count == found->second.calls.end() ? 0 : count->second / found->second.ended;
}

double slotMsPerRun (const WorkEstimate& work, const std::string& row)
{
    constexpr double msPerS = 1'000;
    const auto found = work.rows.find (row);
    const bool isKnown = found != work.rows.end() && found->second.ended >= minEnded;
    return isKnown ? msPerS * found->second.slotS / found->second.ended : 0;
}

std::vector<RowWork> estimateRowWork (const WorkEstimate& work, const RootLimitState& limit,
                                      const std::string& ownService, const std::string& service)
{
    std::vector<RowWork> works;

    for (const auto& [row, it] : work.rows)
    {
        double ms = service == ownService ? slotMsPerRun (work, row) : 0;

        for (const auto& [called, count] : it.calls)
            ms += callsPerRun (work, row, called) * knownRowWork (limit, service, called);

        if (ms > 0 && works.size() < maxReportedRows)
            works.push_back ({ row, ms });
    }

    return works;
}

} // namespace anisehold::overload
