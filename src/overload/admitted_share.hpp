/** The rule by which the share of a service's volume that is admitted at the edge moves, once a period.

    Inputs: the fleet's counts of calls and refusals in the period, and the utilization of the service as its
    gates measure it. Refusals bring a limit about; from then on the share is steered so that the utilization
    becomes `targetUtilization`, and refused calls count as utilization that is still to come. It falls all
    the way at once, since work is wasted meanwhile, and rises slowly. Pure.
*/
#pragma once

#include "overload/pressure_report.hpp"
#include "overload/root_limit_state.hpp"

namespace anisehold::overload
{

/** Utilization that a limited service is steered to; waiting calls aren't counted as utilization. */
inline constexpr double targetUtilization = 0.99;

/** Moves the share by what a period of `periodS` seconds has shown. */
void updateAdmittedShare (ServiceState&, const FleetCounts&, double utilization, double periodS);

} // namespace anisehold::overload
