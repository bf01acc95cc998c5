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

/** Utilization that a limited service is steered to. Measured: mean worth of 15 days (three seeds of five)
    0.525 with 0.96, 0.519 with 0.9; with waiting calls counted as utilization, 0.02 to 0.06 less on each
    day that was played (docs/design/overload.md). */
inline constexpr double targetUtilization = 0.99;

/** Moves the share by what a period of `periodS` seconds has shown. */
void moveAdmittedShare (ServiceState&, const FleetCounts&, double utilization, double periodS);

} // namespace anisehold::overload
