/** Adjusts, once per period, the share of a service's request volume that is admitted at the edge.

    Inputs are the fleet's counts of calls and refusals in the period, and the utilization of the service as
    measured by its gates. Refusals start a limit; from then on the share is controlled so that the
    utilization approaches `targetUtilization`, with refused calls counted as additional utilization. The
    share falls to its target at once, since excess requests waste work, and rises slowly. Owns no state;
    updates ServiceState. Pure.
*/
#pragma once

#include "overload/pressure_report.hpp"
#include "overload/root_limit_state.hpp"

namespace anisehold::overload
{

/** Target utilization of a limited service; waiting calls don't count as utilization. */
inline constexpr double targetUtilization = 0.99;

/** Updates the admitted share from the measurements of a period of `periodS` seconds. */
void updateAdmittedShare (ServiceState&, const FleetCounts&, double utilization, double periodS);

/** Counts a period with or without refusals; the rows of a service expire after many periods without. Returns
    whether the period was without. */
bool expireRows (ServiceState&, const FleetCounts&);

} // namespace anisehold::overload
