/** What a daemon tells its peers of an overloaded service. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/serialize_all.hpp"

namespace anisehold::overload
{

/** Work that one request of a row brings to a service, with all calls made for it. */
struct RowWork
{
    std::string row;
    double ms = 0; /**< Time of the service's slots. */

    template <typename Archive>
    void serialize (Archive& archive, unsigned)
    {
        serialize_all (archive, row, ms);
    }
};

/** One daemon's count of calls to one service, and what it makes of them. Sent in its record to peers. */
struct ServicePressure
{
    std::string service;
    std::uint32_t ended = 0;   /**< Calls of this daemon to it that have ended, since the daemon's start. */
    std::uint32_t refused = 0; /**< Of those, refused by all servers that were asked, for overload. */
    double level = 1;          /**< Share of the volume that this daemon lets in. */
    std::vector<std::string>
        rows; /**< Routes whose requests reach the service, as far as this daemon knows. */
    /** Of `ended`, those of about the last period: they count where the receiver has no earlier report to
       compare with. */
    std::uint32_t recentEnded = 0;
    std::uint32_t recentRefused = 0; /**< The same of `refused`. */
    std::vector<RowWork> works{};    /**< Of rows that the sender's server runs, as it measures them. */

    template <typename Archive>
    void serialize (Archive& archive, unsigned)
    {
        serialize_all (archive, service, ended, refused, recentEnded, recentRefused, level, rows, works);
    }
};

} // namespace anisehold::overload
