/** The requests and replies between daemons about keys and quotas: one datagram a message.

    A request carries the requester's clock reading, which the reply repeats: the requester counts all
    ages from before it sent the request, whatever time a datagram took. The order of `serialize_all` and
    of Message is the wire's.
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

/** Who sends a request, and when. */
struct Requester
{
    Endpoint replyTo;
    std::uint64_t bootId = 0; /**< Of the sending process: replies to a predecessor are dropped. */
    std::int64_t sentNs = 0;  /**< Reading of its boot clock. */

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, replyTo, bootId, sentNs);
    }
};

/** What a request that is sent at `now` carries. */
inline Requester requesterAt (TimePoint now, const Endpoint& replyTo, std::uint64_t bootId)
{
    return { replyTo, bootId,
             std::chrono::duration_cast<std::chrono::nanoseconds> (now.time_since_epoch()).count() };
}

/** When the request was sent, on the requester's clock. */
inline TimePoint sentAt (const Requester& requester)
{
    return TimePoint (std::chrono::duration_cast<Duration> (std::chrono::nanoseconds (requester.sentNs)));
}

/** A length of time in a message, in ms: rounded up, an hour at most. */
inline std::uint32_t roundedUpMs (Duration duration)
{
    constexpr long long most = 3'600'000;
    return static_cast<std::uint32_t> (std::clamp (to_milliseconds (duration) + 1, 0LL, most));
}

/** Asks how old the proof of the configuration is. */
struct ProofRequest
{
    Requester requester;

    template <typename Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        serialize_all (archive, requester);
    }
};

/** No version newer than `version` existed `ageMs` before this reply. */
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

/** Tokens of a tenant are wanted, and unused ones returned. */
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
        firstOwner; /**< Another daemon that counts for the tenant, and has replied to the sender lately. */
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
