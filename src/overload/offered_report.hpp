/** What a daemon reports to its peers for the capacity forecast: the requests that clients offer to it, and
    the work that requests bring to each service. Sent in the daemon's record (membership/peer_record.hpp) as
    positional archives: the order of `serialize_all` is the wire format. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "overload/service_pressure.hpp"
#include "protocol/serialize_all.hpp"

namespace anisehold::overload
{

/** Requests of one row that clients offer to one daemon. Seven bytes, because every record carries them. */
struct OfferedRow
{
    std::uint32_t id = 0;             /**< `rowId` of the row's name. */
    std::uint16_t tenthPerSecond = 0; /**< Rate, in tenths of a request per second. */
    std::uint8_t priority = 0;

    template <typename Archive>
    void serialize (Archive& archive, unsigned)
    {
        serialize_all (archive, id, tenthPerSecond, priority);
    }
};

/** Work that rows bring to one service, as measured by one daemon. */
struct ServiceWork
{
    std::string service;
    std::vector<RowWork> works;

    template <typename Archive>
    void serialize (Archive& archive, unsigned)
    {
        serialize_all (archive, service, works);
    }
};

/** The part of a record that the forecast uses; membership/peer_record encodes its two fields. */
struct OfferedReport
{
    std::vector<OfferedRow> offered;
    std::vector<ServiceWork> works; /**< Only in some records: estimates change slowly. */

    bool empty() const { return offered.empty() && works.empty(); }
};

/** Returns the same number on every machine; names of rows are too long for every record. */
std::uint32_t rowId (const std::string& row);

} // namespace anisehold::overload
