/** The messages between daemons about keys and quotas, one per datagram.

    A request carries the requester's clock reading, which the reply repeats: the requester counts all ages
    from before it sent the request, however long a datagram took. The order of `serialize_all` and of Message
    defines the wire format.
*/
#pragma once

#include <algorithm>
#include <boost/variant.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/endpoint.hpp"
#include "protocol/serialize_all.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::tenancy
{

/** The sender of a request and its time of sending. */
struct Requester
{
    Endpoint replyTo;
    std::uint64_t bootId = 0; /**< Boot id of the sending process: replies to a predecessor are dropped. */
    std::int64_t sentNs = 0;  /**< The sender's boot clock. */

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, replyTo, bootId, sentNs);
    }
};

/** Returns the requester of a request that is sent at `now`. */
inline Requester requesterAt (TimePoint now, const Endpoint& replyTo, std::uint64_t bootId)
{
    return { replyTo, bootId,
             std::chrono::duration_cast<std::chrono::nanoseconds> (now.time_since_epoch()).count() };
}

/** Returns when the request was sent, on the requester's clock. */
inline TimePoint sentAt (const Requester& requester)
{
    return TimePoint (std::chrono::duration_cast<Duration> (std::chrono::nanoseconds (requester.sentNs)));
}

/** Returns a duration in a message, in ms: rounded up, at most one hour. */
inline std::uint32_t roundedUpMs (Duration duration)
{
    constexpr long long maxMs = 3'600'000;
    return static_cast<std::uint32_t> (std::clamp (to_milliseconds (duration) + 1, 0LL, maxMs));
}

/** Asks for the age of the proof of the configuration. */
struct ProofRequest
{
    Requester requester;

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, requester);
    }
};

/** States that no version newer than `version` existed `ageMs` before this reply. */
struct ProofReply
{
    Requester requester;
    std::uint64_t version = 0;
    std::uint32_t ageMs = 0;

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, requester, version, ageMs);
    }
};

/** Requests tokens of a tenant and returns unused ones. */
struct QuotaRequest
{
    Requester requester;
    std::string tenant;
    std::uint32_t wanted = 0;
    std::uint32_t returned = 0;

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, requester, tenant, wanted, returned);
    }
};

/** The owner's grant. */
struct QuotaReply
{
    Requester requester;
    std::string tenant;
    bool owns = false;    /**< False if the daemon can't grant anything of the tenant's quota at present. */
    std::string reserved; /**< Empty; keeps the layout that earlier versions can read. */
    std::uint32_t granted = 0;
    std::uint32_t untilNextMs = 0;
    std::uint32_t retryAfterMs = 0;

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, requester, tenant, owns, reserved, granted, untilNextMs, retryAfterMs);
    }
};

/** A member's update to another one: that it is alive, which update of the receiver it has received, and
    which leases it gives to the receiver (quota_leases.hpp). */
struct LeaseUpdate
{
    std::string sender;       /**< Name of the sending daemon. */
    std::uint64_t bootId = 0; /**< Boot id of the sending process; never 0. */
    std::int64_t sentNs = 0;  /**< The sender's boot clock; increases with every update. */
    std::uint32_t leaseMs =
        0; /**< How long the sender uses a lease, counted from `sentNs`, that is given in answer to this. */

    // Fields of the receiver's latest update; 0 if none has arrived.
    std::uint64_t receivedBootId = 0;
    std::int64_t receivedNs = 0;
    std::uint32_t receivedLeaseMs = 0;

    std::uint32_t groups = 0; /**< Bit n: the share of group n is leased to the receiver. */

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, sender, bootId, sentNs, leaseMs, receivedBootId, receivedNs, receivedLeaseMs,
                       groups);
    }
};

using Message = boost::variant<ProofRequest, ProofReply, QuotaRequest, QuotaReply, LeaseUpdate>;

std::string encode (const Message&);
/** Returns nothing if the bytes are not a valid message. */
std::optional<Message> decode (std::string_view);

} // namespace anisehold::tenancy
