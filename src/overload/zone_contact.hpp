/** Detects that a zone can't be reached, by the silence of all of its daemons.

    A single daemon counts as silent after 3.5 of its periods, in a fleet of 70 after 9 s, since datagrams are
    lost. But a capacity forecast must leave out the servers and the demand of a zone that was cut off within
    about a second. The daemons of a zone send independently, 23 of them nine records a second, so their
    common silence is noticed far earlier. Owns ZoneContacts. Pure.
*/
#pragma once

#include <map>
#include <set>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::overload
{

/** Records received from the daemons of a zone. */
struct ZoneContact
{
    std::map<std::string, TimePoint> heard; /**< Latest record, by daemon. */
    TimePoint latest;
};

/** By zone. */
using ZoneContacts = std::map<std::string, ZoneContact>;

/** Number of missed records, all daemons of the zone together, after which it counts as cut off. Records
    arrive independently, so as many are missed by chance in one of 3,000 cases. */
inline constexpr double missedRecords = 8;
/** Minimum silence of a zone that counts. */
inline constexpr milliseconds minZoneSilence{ 500 };

/** Records that a record of the daemon arrived. */
void recordHeard (ZoneContacts&, TimePoint now, const std::string& zone, const std::string& daemon);

/** Returns the zones that are silent, if each daemon sends once per `period`. Forgets daemons that were
    silent for several periods before their zone was. */
std::set<std::string> silentZones (ZoneContacts&, TimePoint now, Duration period);

} // namespace anisehold::overload
