#include "overload/row_reach.hpp"

#include "protocol/half_life.hpp"

namespace anisehold::overload
{
namespace
{

/** Half-life of a row's volume and of its failures, in seconds. */
constexpr double volumeHalfLifeS = 3.0;
/** Minimum number of decayed failures for a row to count as reaching a service: three within a second. A
    server's own failures are less than a hundredth of its responses, but two in succession do happen in a
    fleet. */
constexpr double minFailures = 2.5;
/** Minimum part of the row's requests that must have failed in this way; where calls are refused, each
    refused call fails a whole request. Both minimums protect rows that don't call the service but have
    single failures at the same time. */
constexpr double minFailedPart = 0.1;

double decayed (double value, Duration age)
{
    return value * kept_part (age, volumeHalfLifeS);
}

} // namespace

double offeredVolume (const RowVolume& row, TimePoint now)
{
    return decayed (row.offered, now - row.updated);
}

double offeredPerSecond (const RowVolume& row)
{
    return row.offered / count_window_s (volumeHalfLifeS);
}

void recordOffered (RootLimitState& state, TimePoint now, const RootRow& row)
{
    auto& volume = state.rows[row.name];
    volume.offered = offeredVolume (volume, now) + 1;
    volume.priority = row.priority;
    volume.updated = now;
}

void recordReach (RootLimitState& state, const std::string& row, const std::string& service)
{
    state.services[service].rows.insert (row);
}

void recordDownstreamFailure (RootLimitState& state, TimePoint now, const std::string& row,
                              const std::string& service)
{
    auto& evidence = state.services[service].evidence[row];
    evidence.failures = decayed (evidence.failures, now - evidence.updated) + 1;
    evidence.updated = now;
    const auto volume = state.rows.find (row);
    const double offered = volume == state.rows.end() ? 0 : offeredVolume (volume->second, now);

    if (evidence.failures >= minFailures && evidence.failures >= minFailedPart * offered)
        recordReach (state, row, service);
}

} // namespace anisehold::overload
