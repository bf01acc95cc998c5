/** A daemon's report to its peers on a service that lacks capacity. Sent in the daemon's record
    (membership/peer_record.hpp) as a positional archive: the order of `serialize_all` is the wire format. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/serialize_all.hpp"

namespace anisehold::overload
{

/** Work that one request of a row brings to a service, including all calls made for the request. */
struct RowWork
{
    std::string row;
    double ms = 0; /**< Time in slots of the service. */

    template <typename Archive>
    void serialize (Archive& archive, unsigned)
    {
        serialize_all (archive, row, ms);
    }
};

/** One daemon's counts of calls to one service, and the resulting admitted share. */
struct ServicePressure
{
    std::string service;
    std::uint32_t ended = 0;       /**< Finished calls of this daemon to the service since its start. */
    std::uint32_t refused = 0;     /**< Calls among `ended` that all tried servers refused for overload. */
    double admittedShare = 1;      /**< Share of the offered volume, from 0 to 1, as known to this daemon. */
    std::vector<std::string> rows; /**< Rows known to this daemon whose requests reach the service. */
    std::uint32_t recentEnded = 0; /**< Calls among `ended` of about the last period; used by receivers
                                      without an earlier report to compare with. */
    std::uint32_t recentRefused = 0; /**< Calls among `refused` of about the last period. */
    std::vector<RowWork>
        works{}; /**< Work of the rows that run at the sender's server, as measured by the sender. */

    template <typename Archive>
    void serialize (Archive& archive, unsigned)
    {
        serialize_all (archive, service, ended, refused, recentEnded, recentRefused, admittedShare, rows,
                       works);
    }
};

} // namespace anisehold::overload
