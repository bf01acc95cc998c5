#include "overload/retry_capacity.hpp"

#include <algorithm>
#include <cmath>

#include "overload/capacity_share.hpp"
#include "overload/pressure_report.hpp"
#include "overload/row_reach.hpp"

namespace anisehold::overload
{
namespace
{

/** Time for which a report holds, and after which nothing is known. Records arrive every 0.4 s while a
   service declines, and one may be lost. */
constexpr double heldS = 1.0;
constexpr double forgottenS = 2.0;
/** Minimum time between two updates of the shares. */
constexpr milliseconds updatePause{ 20 };
/** Maximum declined share that is reckoned with: the retries of a call grow without bound near 1. */
constexpr double maxDeclinedShare = 0.9;
/** A row with fewer calls per request doesn't reach the service: work estimates are uncertain. */
constexpr double minCalls = 0.25;
/** A row is not limited if first attempts alone complete this share of its requests. */
constexpr double minCompletedAlone = 0.25;
/** Bounds of the time in which admitted requests were counted, for their rate. */
constexpr double minCountedS = 1.0;
/** Change of a declined share that is logged. */
constexpr double loggedChange = 0.1;
constexpr double usPerMs = 1'000;

double ageS (const ServerDecline& server, TimePoint now)
{
    return std::chrono::duration<double> (now - server.reported).count();
}

double shareOf (const ServerDecline& server, TimePoint now)
{
    const double left = (forgottenS - ageS (server, now)) / (forgottenS - heldS);
    return server.share * std::clamp (left, 0.0, 1.0);
}

double meanShare (const DecliningService& service, TimePoint now)
{
    double sum = 0;
    double count = 0;

    for (const auto& [instance, it] : service.servers)
    {
        if (ageS (it, now) >= forgottenS)
            continue;

        sum += shareOf (it, now);
        count += 1;
    }

    return count > 0 ? sum / count : 0;
}

/** Returns the mean service time of the service's servers in ms; 0 if unknown. */
double serviceMs (const DecliningService& service)
{
    double sum = 0;
    double count = 0;

    for (const auto& [instance, it] : service.servers)
    {
        sum += it.latencyUs;
        count += it.latencyUs > 0 ? 1 : 0;
    }

    return count > 0 ? sum / count / usPerMs : 0;
}

/** Returns the calls that one request of the row makes at the service; 0 if it doesn't reach the service. */
double callsOf (const RootLimitState& state, const std::string& service, double meanMs,
                const std::string& row)
{
    const double calls = meanMs > 0 ? knownRowWork (state, service, row) / meanMs : 0;
    return calls >= minCalls ? calls : 0;
}

double offeredRate (const RowVolume& volume, TimePoint now)
{
    auto present = volume;
    present.offered = offeredVolume (volume, now);
    return offeredPerSecond (present);
}

/** Returns the retries per second that the admitted requests of this daemon earn at the gates. */
double retriesPerSecond (RootLimitState& state, TimePoint now, const std::string& service, double meanMs)
{
    auto& capacity = state.retryCapacity;
    const double windowS = std::chrono::duration<double> (capacity.terms.window).count();
    const double ageInS = std::chrono::duration<double> (now - capacity.started).count();
    const double countedS = std::clamp (ageInS, std::min (minCountedS, windowS), windowS);
    double arrivals = 0;

    for (auto& [row, count] : capacity.admitted)
        arrivals += count.largest (now) * callsOf (state, service, meanMs, row);

    return capacity.terms.usedShare * capacity.terms.ratio * arrivals / countedS;
}

/** Lowers the shares of the rows that reach a declining service to what its retries carry. */
void limitRows (RootLimitState& state, TimePoint now, const std::string& name,
                const DecliningService& service)
{
    const double declined = std::min (meanShare (service, now), maxDeclinedShare);

    if (declined <= minDeclinedShare)
        return;

    const double meanMs = serviceMs (service);
    const double retriesPerCall = declined / (1 - declined);
    std::vector<RowDemand> demands;
    std::vector<double> completedAlone;

    for (const auto& [row, volume] : state.rows)
    {
        const double calls = callsOf (state, name, meanMs, row);

        if (calls == 0)
            continue;

        demands.push_back ({ row, volume.priority, offeredRate (volume, now) * calls * retriesPerCall });
        completedAlone.push_back (std::pow (1 - declined, calls));
    }

    const auto shares = shareCapacity (demands, retriesPerSecond (state, now, name, meanMs));

    for (std::size_t n = 0; n < demands.size(); ++n)
    {
        if (completedAlone[n] >= minCompletedAlone)
            continue;

        const auto [share, isNew] =
            state.retryCapacity.shares.try_emplace (std::string (demands[n].row), shares[n]);
        share->second = std::min (share->second, shares[n]);
    }
}

} // namespace

void recordServerDecline (RootLimitState& state, const std::string& service, const std::string& instance,
                          const ServerDecline& server)
{
    auto& services = state.retryCapacity.services;

    if (server.share <= 0 && ! services.contains (service))
        return;

    services[service].servers[instance] = server;
    // The work of the service's rows is reported while an entry exists.
    state.services.try_emplace (service);
}

void recordAdmittedRoot (RootLimitState& state, TimePoint now, const std::string& row)
{
    auto& capacity = state.retryCapacity;

    if (capacity.started == TimePoint{})
        capacity.started = now;

    if (capacity.admitted.size() >= maxCountedRows && ! capacity.admitted.contains (row))
        return;

    capacity.admitted.try_emplace (row, capacity.terms.window).first->second.add (now, 1);
}

double declinedShare (const RootLimitState& state, TimePoint now, const std::string& service)
{
    const auto found = state.retryCapacity.services.find (service);
    return found == state.retryCapacity.services.end() ? 0 : meanShare (found->second, now);
}

bool isDeclining (const RootLimitState& state, const std::string& service)
{
    return state.retryCapacity.services.contains (service);
}

void updateRetryShares (RootLimitState& state, TimePoint now)
{
    auto& capacity = state.retryCapacity;

    if (now - capacity.updated < updatePause)
        return;

    capacity.updated = now;
    capacity.shares.clear();

    for (const auto& [name, service] : capacity.services)
        limitRows (state, now, name, service);
}

double retryLimitedShare (const RootLimitState& state, const std::string& row)
{
    const auto found = state.retryCapacity.shares.find (row);
    return found == state.retryCapacity.shares.end() ? 1 : found->second;
}

std::vector<RetryLimitChange> takeRetryLimitChanges (RootLimitState& state, TimePoint now)
{
    auto& capacity = state.retryCapacity;
    std::vector<RetryLimitChange> changes;

    for (auto& [name, service] : capacity.services)
    {
        const double declined = meanShare (service, now);
        const bool hasEnded = declined <= 0 && service.loggedShare > 0;

        if (! hasEnded && std::abs (declined - service.loggedShare) < loggedChange)
            continue;

        service.loggedShare = declined;
        changes.push_back (
            { name, declined, retriesPerSecond (state, now, name, serviceMs (service)), capacity.shares });
    }

    std::erase_if (capacity.services, [&] (const auto& it) { return meanShare (it.second, now) <= 0; });
    return changes;
}

} // namespace anisehold::overload
