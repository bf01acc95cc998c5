/** What a daemon reports to its peers of a service that lacks capacity. Sent in its record
    (membership/peer_record.hpp), as a positional archive: the order of `serialize_all` is the wire's. */
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

/** One daemon's count of calls to one service, and what it makes of them. */
struct ServicePressure
{
    std::string service;
    std::uint32_t ended = 0;   /**< Calls of this daemon to it that have ended, since the daemon's start. */
    std::uint32_t refused = 0; /**< Of those, refused by all servers that were tried, for overload. */
    double admittedShare = 1;  /**< Of the offered volume, as this daemon has it; from 0 to 1. */
    std::vector<std::string> rows; /**< Rows whose requests reach the service, as far as this daemon knows. */
    std::uint32_t recentEnded = 0; /**< Of `ended`, those of about the last period: they count where the
                                        receiver has no earlier report to compare with. */
    std::uint32_t recentRefused = 0; /**< The same of `refused`. */
    std::vector<RowWork> works{};    /**< Of rows that the sender's server runs, as it measures them. */

    template <typename Archive>
    void serialize (Archive& archive, unsigned)
    {
        serialize_all (archive, service, ended, refused, recentEnded, recentRefused, admittedShare, rows,
                       works);
    }
};

} // namespace anisehold::overload
