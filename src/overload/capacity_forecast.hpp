/** Limits root requests by a forecast of the capacity and the demand of each service, before gates refuse.

    In a recorded deployment the demand of the last service exceeds its capacity by up to 70 % for 5 to 6 s.
    The limit by refusals (admitted_share) follows after refusals have been counted for a period; by then the
    work of the broken chains is lost. The forecast compares the work that clients offer (demand_forecast)
    with the capacity of the servers that can be reached (service_capacity) a few times a second.

    Estimates may be wrong by some tenths. So a limit starts only well above the capacity, and a correction
    factor, learned from the measured utilization and from refusals, compensates for a wrong forecast within a
   few periods. Where estimates, demand or capacity are unknown, or refusals continue at the lowest
   correction, the limit by refusals applies as without the forecast.

    Owns ForecastState and the limit `slotLimit` of each service. Relies on a caller that updates it several
    times a second. Plain state and free functions. Pure.
*/
#pragma once

#include <string>
#include <vector>

#include "overload/pressure_report.hpp"
#include "overload/root_limit_state.hpp"
#include "overload/service_capacity.hpp"

namespace anisehold::overload
{

/** Name of the forecast's limit among the CapacityLimits of a service. */
inline constexpr const char* slotLimit = "slots";

/** Bounds of the correction factor. */
inline constexpr double minCorrection = 0.5;
inline constexpr double maxCorrection = 1.6;

/** Forecast utilization above which a limit starts: estimates that are wrong by 20 % must not cost requests
    while the service is used up to nine tenths. */
inline constexpr double startUtilization = 1.1;

/** A notable change of the forecast of a service. */
struct ForecastChange
{
    std::string service;
    double capacity = 0; /**< Corrected, in ms of slot time per second. */
    double demand = 0;   /**< In the same unit. */
    double correction = 1;
    double share = 1; /**< Admitted share of the demand. */
};

/** Updates the forecast and the limits of all services. Returns notable changes, at most one per service and
    second. */
std::vector<ForecastChange> updateForecast (RootLimitState&, TimePoint now, const Capacities&);

/** Whether the forecast limits a service. */
bool isLimitedByForecast (const RootLimitState&);

/** Lifts all limits and forgets the forecast. */
void endForecast (RootLimitState&);

/** Whether there is a forecast of the service. */
bool hasForecast (const RootLimitState&, const std::string& service);

/** Whether the limit of the service follows the forecast, so that refusals and utilization correct the
    forecast only. */
bool followsForecast (const RootLimitState&, const std::string& service);

/** Ends a period of a service with a forecast: learns the correction from the fleet's counts and the
    utilization, and whether the forecast can be followed. */
void correctForecast (RootLimitState&, const std::string& service, const FleetCounts&);

} // namespace anisehold::overload
