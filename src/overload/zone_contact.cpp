#include "overload/zone_contact.hpp"

#include <algorithm>

namespace anisehold::overload
{
namespace
{

/** Periods after which a daemon that isn't heard no longer counts among those of its zone. */
constexpr double forgottenPeriods = 3.5;

} // namespace

void recordHeard (ZoneContacts& zones, TimePoint now, const std::string& zone, const std::string& daemon)
{
    auto& contact = zones[zone];
    contact.heard[daemon] = now;
    contact.latest = now;
}

std::set<std::string> silentZones (ZoneContacts& zones, TimePoint now, Duration period)
{
    std::set<std::string> silent;
    const std::chrono::duration<double> periodS = period;

    for (auto& [zone, contact] : zones)
    {
        std::erase_if (contact.heard,
                       [&, latest = contact.latest] (const auto& it)
                       {
                           const std::chrono::duration<double> before = latest - it.second;
                           return before > forgottenPeriods * periodS;
                       });
        const auto known = static_cast<double> (contact.heard.size());
        const auto pause = missedRecords * periodS / known;
        const auto overdue = std::count_if (contact.heard.begin(), contact.heard.end(),
                                            [&] (const auto& it) { return now - it.second > periodS; });

        // Daemons that sent their last records together, at the end of a shortage, are all due together, too.
        if (now - contact.latest > std::max<std::chrono::duration<double>> (minZoneSilence, pause) &&
            static_cast<double> (overdue) >= std::min<double> (missedRecords, known))
            silent.insert (zone);
    }

    return silent;
}

} // namespace anisehold::overload
