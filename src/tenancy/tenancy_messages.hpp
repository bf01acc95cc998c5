/** What daemons ask each other about tenants: one datagram a message.

    A question carries the asker's clock reading, which the answer repeats: the asker counts all ages from
    before it asked, whatever time a datagram took.
*/
#pragma once

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

/** Who asks, and when. */
struct Requester
{
    Endpoint replyTo;
    std::uint64_t bootId = 0; /**< Of the asking process: a predecessor's answers are dropped. */
    std::int64_t sentNs = 0;  /**< Reading of its steady clock. */

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, replyTo, bootId, sentNs);
    }
};

/** The asker's clock reading for a question that is sent at `now`. */
inline std::int64_t clockReading (TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds> (now.time_since_epoch()).count();
}

/** When the question was asked, on the asker's clock. */
inline TimePoint sentAt (const Requester& requester)
{
    return TimePoint (std::chrono::duration_cast<Duration> (std::chrono::nanoseconds (requester.sentNs)));
}

/** How fresh is your configuration? */
struct ProofRequest
{
    Requester requester;

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, requester);
    }
};

/** No version newer than `version` existed `ageMs` before this answer. */
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

/** Tokens of a tenant are wanted, and others come back. */
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

/** What the owner grants. */
struct QuotaReply
{
    Requester requester;
    std::string tenant;
    bool owns = false; /**< Otherwise it knows no such tenant, or is about to leave. */
    std::string
        firstOwner; /**< Another daemon that counts for the tenant, and has answered the sender lately. */
    std::uint32_t granted = 0;
    std::uint32_t untilNextMs = 0;
    std::uint32_t retryAfterMs = 0;

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, requester, tenant, owns, firstOwner, granted, untilNextMs, retryAfterMs);
    }
};

using Message = boost::variant<ProofRequest, ProofReply, QuotaRequest, QuotaReply>;

std::string encode (const Message&);
/** Nothing if the bytes aren't such a message. */
std::optional<Message> decode (std::string_view);

} // namespace anisehold::tenancy
